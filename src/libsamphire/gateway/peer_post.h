#ifndef GATEWAY_PEER_POST_H_
#define GATEWAY_PEER_POST_H_

#include <cstddef>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "gateway/peer_signer.h"
#include "proxy/connection_pool.h"

namespace samphire {

// A call to a peer.
struct peer_post {
  std::string path;
  std::string body;
  // Time limit until the response begins.
  milliseconds timeout;
  // Media type of the response that the caller understands besides the peer's
  // default; empty if none.
  std::string accept = {};
  // Upper bound on the body of the response, in bytes: by default the largest
  // complete declaration, with a margin.
  std::size_t max_response_bytes = std::size_t{256} << 20U;
};

struct peer_response {
  std::string content_type;
  std::string body;
};

// Sends one signed POST to a peer and returns the complete response. Blocks for
// `post.timeout` at most until the response begins, and then for as long as its
// body arrives, but at most four seconds. Returns kPeerUnreachable if the
// request couldn't be sent, kPeerTimeout if the body ended early,
// kPeerMalformed if it is too long, kPeerDeclined if the peer refused the call,
// and the error of http_exchange if there was no response head.
result<peer_response> PostToPeer(connection_pool& pool,
                                 peer_signer& signer,
                                 const std::string& peer,
                                 const peer_post& post);

}  // namespace samphire

#endif  // GATEWAY_PEER_POST_H_
