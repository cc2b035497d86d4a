#include "peer/envelope_codec.h"

#include <utility>

#include "peer/message_digest.h"

namespace samphire {

namespace {

// The receiver is signed without being sent: a datagram that was captured on
// its way to one entry is worth nothing at another, where its sequence number
// would be new.
std::string SignedText(std::string_view body, std::string_view receiver) {
  std::string text;
  text.reserve(receiver.size() + 1 + body.size());
  text.append(receiver);
  text.push_back('\n');
  text.append(body);
  return text;
}

}  // namespace

result<std::string> Seal(const peer_envelope& envelope,
                         std::string_view receiver,
                         const peer_keys& keys) {
  if (envelope.payload.size() > kMaxPeerPayload ||
      envelope.sender.size() > kMaxSenderName) {
    return MakeError(result_code::kPeerMalformed, "message over its bound");
  }
  const auto body = EncodeBinary(envelope);
  return keys.Sign(SignedText(body, receiver)) + body;
}

// The digest comes first, so that a stranger's bytes reach no decoder.
result<peer_envelope> Open(std::string_view datagram,
                           std::string_view receiver,
                           const peer_keys& keys) {
  if (datagram.size() <= kDigestSize || datagram.size() > kMaxDatagram)
    return MakeError(result_code::kPeerMalformed, "datagram of a wrong size");
  const auto digest = datagram.substr(0, kDigestSize);
  const auto body = datagram.substr(kDigestSize);
  if (!keys.Accepts(SignedText(body, receiver), digest))
    return MakeError(result_code::kPeerBadDigest);
  auto envelope = DecodeBinary<peer_envelope>(body);
  if (!envelope)
    return MakeError(result_code::kPeerMalformed, "undecodable envelope");
  return std::move(*envelope);
}

}  // namespace samphire
