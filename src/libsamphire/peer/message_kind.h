#ifndef PEER_MESSAGE_KIND_H_
#define PEER_MESSAGE_KIND_H_

#include <cstdint>

#include "base/enum_names.h"

namespace samphire {

// What a peer message is about. Numbers go over the wire: new ones are added
// at the end.
enum class message_kind : std::uint8_t {
  kProbe,
  kProbeAck,
  kProbeRequest,
  kGossip,
  kRegionDigest,
  kLoanAsk,
  kLoanAnswer,
  kLoanReturn,
  kQuarantine,
  kConfigHint,
  kJoin,
  kSyncAsk,
  kLedgerAsk,
  kLedgerAnswer,
  kPlacingAsk,
  kPlacingAnswer,
  kPlacingEnd,
  kPermitAsk,
  kPermitAnswer,
  kPermitReturn,
  kPermitBorrow,
  kPermitLoan,
};

inline constexpr enum_names<message_kind, 22> kMessageKindNames{{
    {message_kind::kProbe, "probe"},
    {message_kind::kProbeAck, "probe_ack"},
    {message_kind::kProbeRequest, "probe_request"},
    {message_kind::kGossip, "gossip"},
    {message_kind::kRegionDigest, "region_digest"},
    {message_kind::kLoanAsk, "loan_ask"},
    {message_kind::kLoanAnswer, "loan_answer"},
    {message_kind::kLoanReturn, "loan_return"},
    {message_kind::kQuarantine, "quarantine"},
    {message_kind::kConfigHint, "config_hint"},
    {message_kind::kJoin, "join"},
    {message_kind::kSyncAsk, "sync_ask"},
    {message_kind::kLedgerAsk, "ledger_ask"},
    {message_kind::kLedgerAnswer, "ledger_answer"},
    {message_kind::kPlacingAsk, "placing_ask"},
    {message_kind::kPlacingAnswer, "placing_answer"},
    {message_kind::kPlacingEnd, "placing_end"},
    {message_kind::kPermitAsk, "permit_ask"},
    {message_kind::kPermitAnswer, "permit_answer"},
    {message_kind::kPermitReturn, "permit_return"},
    {message_kind::kPermitBorrow, "permit_borrow"},
    {message_kind::kPermitLoan, "permit_loan"},
}};

inline constexpr auto kLastMessageKind = message_kind::kPermitLoan;

}  // namespace samphire

#endif  // PEER_MESSAGE_KIND_H_
