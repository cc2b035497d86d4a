#ifndef GATEWAY_PEER_SIGNER_H_
#define GATEWAY_PEER_SIGNER_H_

#include <atomic>
#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "peer/peer_identity.h"
#include "peer/peer_keys.h"
#include "peer/peer_token.h"

namespace samphire {

// Signs the requests that this entry sends to its peers, and verifies those
// that they send. Thread-safe.
class peer_signer {
 public:
  peer_signer(peer_keys keys, peer_identity self, const clock_source& clock);

  // Returns the token for the header kPeerTokenHeader; each has a new nonce.
  std::string Sign(const peer_request& request);
  // Returns the sender of a request. Errors are those of peer_token_verifier,
  // which also refuses a token that was used before.
  result<peer_identity> Verify(const peer_request& request,
                               std::string_view token);

 private:
  const peer_keys keys_;
  const peer_identity self_;
  const clock_source& clock_;
  peer_token_verifier verifier_;
  std::atomic<std::uint64_t> nonce_;
};

// Returns what the token of a forwarded request covers in addition to the
// request line. With a forged home region the request would be charged to the
// wrong shift cap; with a forged body or idempotency key the wrong request
// would run.
std::string ForwardedContent(const std::string& home_region,
                             const std::string& idempotency_key,
                             const std::string& body);

}  // namespace samphire

#endif  // GATEWAY_PEER_SIGNER_H_
