#ifndef PEER_ENVELOPE_CODEC_H_
#define PEER_ENVELOPE_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "peer/peer_envelope.h"
#include "peer/peer_keys.h"

namespace samphire {

// Encodes and signs `envelope` for the entry at the address `receiver_address`
// (IP:PORT). Returns the datagram: the digest followed by the encoded envelope.
// Returns kPeerMalformed when the payload or the sender's name exceeds its
// maximum size.
result<std::string> SignEnvelope(const peer_envelope& envelope,
                                 std::string_view receiver_address,
                                 const peer_keys& keys);

// Verifies and decodes a datagram that arrived at `receiver_address`, the
// receiver's own address. Returns kPeerBadDigest when no key of `keys` produced
// the digest, and kPeerMalformed when the size is out of range or the envelope
// cannot be decoded. Does not detect replays; see replay_guard.
result<peer_envelope> VerifyEnvelope(std::string_view datagram,
                                     std::string_view receiver_address,
                                     const peer_keys& keys);

}  // namespace samphire

#endif  // PEER_ENVELOPE_CODEC_H_
