#ifndef GATEWAY_LOOKUP_HANDLER_H_
#define GATEWAY_LOOKUP_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>

#include "base/result.h"
#include "config/ip_address.h"
#include "gateway/node_state.h"
#include "metrics/metrics.h"

namespace samphire {

// Handles GET /v1/lookup?service=S[&client=IP]: returns the entries that the
// caller should use for the service. Without `client`, the address of the
// connection determines the caller's home region. Created for each request and
// used by its connection's thread.
class lookup_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  lookup_handler(node_state& state, metrics& counters);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // Returns the response body. Fails with kNoConfiguration, kMalformedRequest,
  // kUnknownService or kBadClientAddress.
  result<std::string> Respond(const Poco::Net::HTTPServerRequest& request);

  node_state& state_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_LOOKUP_HANDLER_H_
