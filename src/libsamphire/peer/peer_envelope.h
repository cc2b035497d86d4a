#ifndef PEER_PEER_ENVELOPE_H_
#define PEER_PEER_ENVELOPE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "peer/message_kind.h"

namespace samphire {

// Maximum size of a datagram in bytes. It fits one packet on all common links,
// including tunnels, so that no datagram is fragmented.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
// Maximum length of an instance name in bytes.
inline constexpr std::size_t kMaxSenderNameBytes = 64;
// Maximum payload in bytes; with the digest and the longest sender name the
// datagram stays within kMaxDatagramBytes.
inline constexpr std::size_t kMaxPeerPayloadBytes = 1072;

// The payload of a message between entries together with the fields that
// identify its sender and protect it against replay. Members are serialized in
// this order.
struct peer_envelope {
  // Name of the sending instance.
  std::string sender;
  // Identifies the sending process among the successive processes of the same
  // instance; a later process has a higher incarnation.
  std::uint64_t incarnation = 0;
  // Increases by 1 with each message of the process; the first is 1.
  std::uint64_t sequence = 0;
  // Wall-clock time at the sender, in microseconds since the epoch.
  std::int64_t sent_at_us = 0;
  message_kind kind = message_kind::kProbe;
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxSenderNameBytes>(sender), incarnation, sequence,
            sent_at_us);
    SerializeEnum<kLastMessageKind>(archive, kind);
    archive(Bounded<kMaxPeerPayloadBytes>(payload));
  }
};

}  // namespace samphire

#endif  // PEER_PEER_ENVELOPE_H_
