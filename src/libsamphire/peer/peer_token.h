#ifndef PEER_PEER_TOKEN_H_
#define PEER_PEER_TOKEN_H_

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

#include "base/clock_source.h"
#include "base/result.h"
#include "base/sharded.h"
#include "peer/peer_identity.h"
#include "peer/peer_keys.h"
#include "peer/peer_request.h"

namespace samphire {

// The header that carries a token.
inline constexpr const char* kPeerTokenHeader = "Samphirewinch-Peer";

// The token by which `self` vouches for `request`; `nonce` is new each time.
std::string SignPeerRequest(const peer_request& request,
                            const peer_identity& self,
                            const peer_keys& keys,
                            wall_time now,
                            std::uint64_t nonce);

// Checks tokens and refuses one that was seen before. Safe to use from
// several threads.
class peer_token_verifier {
 public:
  explicit peer_token_verifier(peer_keys keys);

  // Who sent `request`; kPeerMalformed, kPeerBadDigest or kPeerReplayed.
  result<peer_identity> Verify(const peer_request& request,
                               std::string_view token,
                               wall_time now);

 private:
  // The tokens of this period and of the one before.
  struct seen_tokens {
    std::int64_t period = 0;
    std::set<std::string, std::less<>> present;
    std::set<std::string, std::less<>> previous;
  };

  static bool Remember(seen_tokens& seen,
                       std::string_view digest,
                       std::int64_t period);

  const peer_keys keys_;
  sharded<seen_tokens> seen_;
};

}  // namespace samphire

#endif  // PEER_PEER_TOKEN_H_
