#ifndef GATEWAY_PEER_CALL_HANDLER_H_
#define GATEWAY_PEER_CALL_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>

#include <string>

#include "distribution/config_follower.h"
#include "distribution/instance_follower.h"
#include "front/front_limits.h"
#include "front/front_request.h"
#include "gateway/peer_call.h"
#include "gateway/peer_signer.h"
#include "metrics/metrics.h"

namespace samphire {

// What all handlers of peer calls share. Thread-safe, as its parts are.
struct peer_call_context {
  config_follower& configuration;
  instance_follower& instances;
  peer_signer& signer;
  metrics& counters;
  front_limits limits;
  // Address of this entry for which peers sign their calls.
  std::string peer_address;
};

// Handles one peer_call. Created for each request and used by its connection's
// thread.
class peer_call_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit peer_call_handler(peer_call_context& context);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // Reads and verifies the call, and returns the encoded response.
  result<std::string> Respond(front_request& request);

  peer_call_context& context_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_CALL_HANDLER_H_
