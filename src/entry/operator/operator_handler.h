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

// Answers one operator call over HTTP.
class operator_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  operator_handler(operator_api& api,
                   const std::string& token,
                   const operator_limits& limits,
                   samphire::metrics& counters);

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  result<operator_outcome> Answer(Poco::Net::HTTPServerRequest& request);
  bool IsAuthorized(const Poco::Net::HTTPServerRequest& request) const;
  result<std::string> ReadBody(Poco::Net::HTTPServerRequest& request) const;

  operator_api& api_;
  const std::string& token_;
  operator_limits limits_;
  samphire::metrics& metrics_;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_HANDLER_H_
