#include "peer/envelope_codec.h"

#include <utility>

#include "peer/message_digest.h"

namespace samphire {

namespace {

// The receiver's address is part of the signed text but is not sent: a datagram
// that was captured on its way to one entry is rejected by any other entry,
// where its sequence number would be new.
std::string SignedText(std::string_view body,
                       std::string_view receiver_address) {
  std::string text;
  text.reserve(receiver_address.size() + 1 + body.size());
  text.append(receiver_address);
  text.push_back('\n');
  text.append(body);
  return text;
}

}  // namespace

result<std::string> SignEnvelope(const peer_envelope& envelope,
                                 std::string_view receiver_address,
                                 const peer_keys& keys) {
  if (envelope.payload.size() > kMaxPeerPayloadBytes ||
      envelope.sender.size() > kMaxSenderNameBytes) {
    return MakeError(result_code::kPeerMalformed,
                     "payload or sender name exceeds its maximum size");
  }
  const auto body = EncodeBinary(envelope);
  return keys.Sign(SignedText(body, receiver_address)) + body;
}

// Verifies the digest before decoding, so that no bytes from unauthenticated
// senders reach the decoder.
result<peer_envelope> VerifyEnvelope(std::string_view datagram,
                                     std::string_view receiver_address,
                                     const peer_keys& keys) {
  if (datagram.size() <= kDigestBytes || datagram.size() > kMaxDatagramBytes)
    return MakeError(result_code::kPeerMalformed, "datagram size out of range");
  const auto digest = datagram.substr(0, kDigestBytes);
  const auto body = datagram.substr(kDigestBytes);
  if (!keys.Accepts(SignedText(body, receiver_address), digest))
    return MakeError(result_code::kPeerBadDigest);
  auto envelope = DecodeBinary<peer_envelope>(body);
  if (!envelope)
    return MakeError(result_code::kPeerMalformed, "envelope cannot be decoded");
  return std::move(*envelope);
}

}  // namespace samphire
