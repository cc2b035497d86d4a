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

// Signs the requests that this entry sends to its peers, and checks theirs.
class peer_signer {
 public:
  peer_signer(peer_keys keys, peer_identity self, const clock_source& clock);

  std::string Sign(const peer_request& request);
  result<peer_identity> Verify(const peer_request& request,
                               std::string_view token);

 private:
  const peer_keys keys_;
  const peer_identity self_;
  const clock_source& clock_;
  peer_token_verifier verifier_;
  std::atomic<std::uint64_t> nonce_;
};

// What a token for a passed request covers besides its line: a forged home
// region would charge the wrong shift cap, a forged body or key run the wrong
// request.
std::string PassedContent(const std::string& home_region,
                          const std::string& idempotency_key,
                          const std::string& body);

}  // namespace samphire

#endif  // GATEWAY_PEER_SIGNER_H_
