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

// Name of the HTTP header that carries a peer token.
inline constexpr const char* kPeerTokenHeader = "Samphirewinch-Peer";

// Returns a token that authenticates `request` as sent by `self` at the time
// `now`. `nonce` must differ for each token of the process, so that equal
// requests have different tokens.
std::string SignPeerRequest(const peer_request& request,
                            const peer_identity& self,
                            const peer_keys& keys,
                            wall_time now,
                            std::uint64_t nonce);

// Verifies tokens and refuses a token that was used before. Thread-safe.
class peer_token_verifier {
 public:
  explicit peer_token_verifier(peer_keys keys);

  // Returns the sender of `request`. Returns kPeerMalformed when the token
  // cannot be parsed, kPeerBadDigest when it does not belong to the request or
  // was signed with an unknown key, and kPeerReplayed when it is too old, too
  // far in the future, was used before, or cannot be recorded because too many
  // tokens are stored already.
  result<peer_identity> Verify(const peer_request& request,
                               std::string_view token,
                               wall_time now);

 private:
  // Digests of the tokens that were accepted in the current period and in the
  // preceding one.
  struct seen_tokens {
    // Number of the current period, counted from the epoch.
    std::int64_t period = 0;
    std::set<std::string, std::less<>> current;
    std::set<std::string, std::less<>> previous;
  };

  // Returns whether `digest` was new and could be stored.
  static bool RecordIfNew(seen_tokens& seen,
                          std::string_view digest,
                          std::int64_t period);

  const peer_keys keys_;
  sharded<seen_tokens> seen_;
};

}  // namespace samphire

#endif  // PEER_PEER_TOKEN_H_
