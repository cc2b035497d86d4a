#include "gateway/peer_signer.h"

#include <fmt/format.h>

#include <random>
#include <utility>

#include "decision/request_fingerprint.h"

namespace samphire {

peer_signer::peer_signer(peer_keys keys,
                         peer_identity self,
                         const clock_source& clock)
    : keys_(std::move(keys)),
      self_(std::move(self)),
      clock_(clock),
      verifier_(keys_),
      nonce_((std::uint64_t{std::random_device{}()} << 32U)) {}

std::string peer_signer::Sign(const peer_request& request) {
  return SignPeerRequest(request, self_, keys_, clock_.wall_now(), ++nonce_);
}

result<peer_identity> peer_signer::Verify(const peer_request& request,
                                          std::string_view token) {
  return verifier_.Verify(request, token, clock_.wall_now());
}

std::string ForwardedContent(const std::string& home_region,
                             const std::string& idempotency_key,
                             const std::string& body) {
  return fmt::format("{}\n{}\n{}", home_region, idempotency_key,
                     DigestOfBody(body));
}

}  // namespace samphire
