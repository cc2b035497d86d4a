#ifndef GATEWAY_SERVICE_HANDLER_H_
#define GATEWAY_SERVICE_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>

#include <string>

#include "base/clock_source.h"
#include "front/front_limits.h"
#include "front/front_request.h"
#include "gateway/answer_sink.h"
#include "gateway/node_state.h"
#include "gateway/peer_signer.h"
#include "gateway/request_router.h"
#include "metrics/metrics.h"

namespace samphire {

// What the handlers of requests to services share.
struct service_context {
  node_state& state;
  request_router& router;
  peer_signer& signer;
  const clock_source& clock;
  metrics& counters;
  front_limits limits;
  // The address that peers sign their requests for.
  std::string peer_address;
};

// One request to /v1/services/S/PATH, on the callers' port or, signed by the
// entry that passes it, on the peers' port.
class service_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  service_handler(service_context& context, bool from_peer);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // The request, or the error to tell.
  result<caller_request> Read(front_request& request);
  result<void> VerifyPeer(const caller_request& read,
                          const front_request& request);
  void Refuse(answer_sink& sink, const error& why);

  service_context& context_;
  const bool from_peer_;
};

}  // namespace samphire

#endif  // GATEWAY_SERVICE_HANDLER_H_
