#ifndef GATEWAY_PEER_POST_H_
#define GATEWAY_PEER_POST_H_

#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "gateway/peer_signer.h"
#include "proxy/connection_pool.h"

namespace samphire {

// Sends one signed POST to a peer and returns the complete response body.
// Blocks for `timeout` at most. Returns kPeerUnreachable if the request
// couldn't be sent, kPeerTimeout if the body ended early, kPeerMalformed if it
// is too long, kPeerDeclined if the peer refused the call, and the error of
// http_exchange if there was no response head.
result<std::string> PostToPeer(connection_pool& pool,
                               peer_signer& signer,
                               const std::string& peer,
                               const std::string& path,
                               const std::string& body,
                               milliseconds timeout);

}  // namespace samphire

#endif  // GATEWAY_PEER_POST_H_
