#ifndef GATEWAY_SERVICE_HANDLER_H_
#define GATEWAY_SERVICE_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>

#include <string>

#include "base/clock_source.h"
#include "front/front_limits.h"
#include "front/front_request.h"
#include "gateway/node_state.h"
#include "gateway/peer_signer.h"
#include "gateway/request_router.h"
#include "gateway/response_sink.h"
#include "metrics/metrics.h"

namespace samphire {

// What all handlers of requests to services share. Thread-safe, as its parts
// are.
struct service_context {
  node_state& state;
  request_router& router;
  peer_signer& signer;
  const clock_source& clock;
  metrics& counters;
  front_limits limits;
  // Address of this entry for which peers sign forwarded requests.
  std::string peer_address;
};

// Handles one request to /v1/services/S/PATH, which arrives on the callers'
// port or, signed by the entry that forwards it, on the peers' port. Created
// for each request and used by its connection's thread.
class service_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  service_handler(service_context& context, bool from_peer);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // Reads and validates the request; returns the error to refuse it with if it
  // can't be served.
  result<caller_request> Read(front_request& request);
  // Verifies that a peer signed the forwarded request for this entry.
  result<void> VerifyPeer(const caller_request& read,
                          const front_request& request);
  // Sends a refusal for a request that was not routed.
  void Refuse(response_sink& sink, const error& why);

  service_context& context_;
  const bool from_peer_;
};

}  // namespace samphire

#endif  // GATEWAY_SERVICE_HANDLER_H_
