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

// What peers are answered from.
struct peer_call_context {
  config_follower& configuration;
  instance_follower& instances;
  peer_signer& signer;
  metrics& counters;
  front_limits limits;
  std::string peer_address;
};

// Answers one call of a peer.
class peer_call_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit peer_call_handler(peer_call_context& context);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  result<std::string> Answer(front_request& request);

  peer_call_context& context_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_CALL_HANDLER_H_
