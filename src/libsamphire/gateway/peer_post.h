#ifndef GATEWAY_PEER_POST_H_
#define GATEWAY_PEER_POST_H_

#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "gateway/peer_signer.h"
#include "proxy/connection_pool.h"

namespace samphire {

// One signed call to a peer and its whole answer: kPeerUnreachable,
// kPeerTimeout or kPeerMalformed when there is none, and kPeerDeclined when the
// peer answered that it has none.
result<std::string> PostToPeer(connection_pool& pool,
                               peer_signer& signer,
                               const std::string& peer,
                               const std::string& path,
                               const std::string& body,
                               milliseconds timeout);

}  // namespace samphire

#endif  // GATEWAY_PEER_POST_H_
