#ifndef PEER_PEER_ENVELOPE_H_
#define PEER_PEER_ENVELOPE_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/bounded_codec.h"
#include "peer/message_kind.h"

namespace samphire {

// A datagram fits one packet on any usual link, tunnels included.
inline constexpr std::size_t kMaxDatagram = 1200;
inline constexpr std::size_t kMaxSenderName = 64;
inline constexpr std::size_t kMaxPeerPayload = 1072;

// What every message between entries carries around its payload.
struct peer_envelope {
  std::string sender;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  // Time of day at the sender, in microseconds.
  std::int64_t sent_at = 0;
  message_kind kind = message_kind::kProbe;
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxSenderName>(sender), incarnation, sequence, sent_at);
    SerializeEnum<kLastMessageKind>(archive, kind);
    archive(Bounded<kMaxPeerPayload>(payload));
  }
};

}  // namespace samphire

#endif  // PEER_PEER_ENVELOPE_H_
