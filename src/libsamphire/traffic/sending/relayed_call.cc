#include "traffic/sending/relayed_call.h"

#include <fmt/format.h>

#include "peer/peer_token.h"

namespace samphire {

// With a forged target or body, another request would run; with a forged
// idempotency, one could run twice.
std::string RelayedContent(const Poco::Net::HTTPRequest& head,
                           const std::string& body) {
  return fmt::format("{}\n{}\n{}\n{}\n{}", head.get(kHeaderRelayService, ""),
                     head.get(kHeaderRelayTarget, ""),
                     head.get(kHeaderRelayIdempotent, ""), head.get("Host", ""),
                     DigestOfBody(body));
}

void AddRelayHeaders(peer_signer& signer,
                     const traffic_request& request,
                     const live_target& target,
                     const std::string& relay,
                     Poco::Net::HTTPRequest& head) {
  head.set(kHeaderRelayService, target.service);
  head.set(kHeaderRelayTarget, target.id);
  head.set(kHeaderRelayIdempotent, request.route->idempotent ? "1" : "0");
  head.set(kHeaderRelaySigned, std::to_string(request.body.start().size()));
  head.set(kPeerTokenHeader, signer.Sign({.method = head.getMethod(),
                                          .request_target = head.getURI(),
                                          .receiver_address = relay,
                                          .signed_content = RelayedContent(
                                              head, request.body.start())}));
}

}  // namespace samphire
