#ifndef ENTRY_OPERATOR_OPERATOR_HANDLER_H_
#define ENTRY_OPERATOR_OPERATOR_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <string>

#include "base/result.h"
#include "entry/operator/operator_api.h"
#include "entry/operator/operator_limits.h"
#include "entry/operator/operator_routes.h"
#include "metrics/metrics.h"

namespace samphire {

// Serves one call of an operator over HTTP. Created for each request and used
// by one thread; `api`, `token` and `counters` are shared by all handlers and
// must outlive it.
class operator_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  operator_handler(operator_api& api,
                   const std::string& token,
                   const operator_limits& limits,
                   samphire::metrics& counters);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // Authorizes, parses and dispatches the call.
  result<operator_outcome> HandleCall(Poco::Net::HTTPServerRequest& request);
  bool IsAuthorized(const Poco::Net::HTTPServerRequest& request) const;
  // Reads the body within the limits on bytes and time.
  result<std::string> ReadBody(Poco::Net::HTTPServerRequest& request) const;

  operator_api& api_;
  const std::string& token_;
  operator_limits limits_;
  samphire::metrics& metrics_;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_HANDLER_H_
