#ifndef PEER_MESSAGE_KIND_H_
#define PEER_MESSAGE_KIND_H_

#include <cstdint>

#include "base/enum_names.h"

namespace samphire {

// The kind of a peer message, which determines the type of its payload and the
// handler that receives it. The numbers are sent on the wire: new kinds are
// added at the end.
enum class message_kind : std::uint8_t {
  kProbe,
  kProbeAck,
  kProbeRequest,
  kGossip,
  kRegionDigest,
  kLoanRequest,
  kLoanResponse,
  kLoanReturn,
  kQuarantine,
  kConfigHint,
  kJoin,
  kSyncRequest,
  kLedgerRequest,
  kLedgerResponse,
  kPlacementRequest,
  kPlacementResponse,
  kPlacementEnd,
  kPermitRequest,
  kPermitResponse,
  kPermitReturn,
  kPermitLoanRequest,
  kPermitLoan,
  kTargetPermitRequest,
  kTargetPermitResponse,
  kTargetNews,
  kPing,
  kPingAck,
  kObjectNews,
};

// Names of the kinds in the labels of the peer metrics.
inline constexpr enum_names<message_kind, 28> kMessageKindNames{{
    {message_kind::kProbe, "probe"},
    {message_kind::kProbeAck, "probe_ack"},
    {message_kind::kProbeRequest, "probe_request"},
    {message_kind::kGossip, "gossip"},
    {message_kind::kRegionDigest, "region_digest"},
    {message_kind::kLoanRequest, "loan_ask"},
    {message_kind::kLoanResponse, "loan_answer"},
    {message_kind::kLoanReturn, "loan_return"},
    {message_kind::kQuarantine, "quarantine"},
    {message_kind::kConfigHint, "config_hint"},
    {message_kind::kJoin, "join"},
    {message_kind::kSyncRequest, "sync_ask"},
    {message_kind::kLedgerRequest, "ledger_ask"},
    {message_kind::kLedgerResponse, "ledger_answer"},
    {message_kind::kPlacementRequest, "placing_ask"},
    {message_kind::kPlacementResponse, "placing_answer"},
    {message_kind::kPlacementEnd, "placing_end"},
    {message_kind::kPermitRequest, "permit_ask"},
    {message_kind::kPermitResponse, "permit_answer"},
    {message_kind::kPermitReturn, "permit_return"},
    {message_kind::kPermitLoanRequest, "permit_borrow"},
    {message_kind::kPermitLoan, "permit_loan"},
    {message_kind::kTargetPermitRequest, "target_permit_request"},
    {message_kind::kTargetPermitResponse, "target_permit_response"},
    {message_kind::kTargetNews, "target_news"},
    {message_kind::kPing, "ping"},
    {message_kind::kPingAck, "ping_ack"},
    {message_kind::kObjectNews, "object_news"},
}};

// The highest valid number; the decoder rejects messages above it.
inline constexpr auto kLastMessageKind = message_kind::kObjectNews;

}  // namespace samphire

#endif  // PEER_MESSAGE_KIND_H_
