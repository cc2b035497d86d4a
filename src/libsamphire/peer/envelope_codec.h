#ifndef PEER_ENVELOPE_CODEC_H_
#define PEER_ENVELOPE_CODEC_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "peer/peer_envelope.h"
#include "peer/peer_keys.h"

namespace samphire {

// The datagram that takes `envelope` to the entry at `receiver`.
result<std::string> Seal(const peer_envelope& envelope,
                         std::string_view receiver,
                         const peer_keys& keys);

// The envelope in a datagram that arrived at `receiver`; kPeerBadDigest or
// kPeerMalformed when there is none.
result<peer_envelope> Open(std::string_view datagram,
                           std::string_view receiver,
                           const peer_keys& keys);

}  // namespace samphire

#endif  // PEER_ENVELOPE_CODEC_H_
