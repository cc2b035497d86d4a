#ifndef GATEWAY_LOOKUP_HANDLER_H_
#define GATEWAY_LOOKUP_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>

#include "base/result.h"
#include "config/ip_address.h"
#include "gateway/node_state.h"
#include "metrics/metrics.h"

namespace samphire {

// GET /v1/lookup?service=S[&client=IP]: which entries to use.
class lookup_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  lookup_handler(node_state& state, metrics& counters);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  result<std::string> Answer(const Poco::Net::HTTPServerRequest& request);

  node_state& state_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_LOOKUP_HANDLER_H_
