#ifndef PEER_PEER_MESSAGE_CODEC_H_
#define PEER_PEER_MESSAGE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/bounded_codec.h"
#include "metrics/metrics.h"
#include "peer/peer_transport.h"

namespace samphire {

// Encodes and sends a message without waiting for it to arrive. Counts a
// failure to send as a retry, since the sender relies on a later message.
template <typename Message>
void SendToPeer(peer_transport& transport,
                metrics& counters,
                const std::string& address,
                message_kind kind,
                const Message& message) {
  const auto sent = transport.Send(address, kind, EncodeBinary(message));
  if (!sent)
    counters.CountRetry(sent.error().code);
}

// Decodes the payload of a message. Returns nothing if it is malformed, which
// is counted under the metric `malformed`.
template <typename Message>
std::optional<Message> DecodeFromPeer(const peer_message& message,
                                      metrics& counters,
                                      std::string_view malformed) {
  auto decoded = DecodeBinary<Message>(message.payload);
  if (!decoded)
    counters.Count(malformed);
  return decoded;
}

}  // namespace samphire

#endif  // PEER_PEER_MESSAGE_CODEC_H_
