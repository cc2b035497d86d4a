#ifndef ENTRY_OPERATOR_OPERATOR_HANDLER_FACTORY_H_
#define ENTRY_OPERATOR_OPERATOR_HANDLER_FACTORY_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <string>

#include "entry/operator/operator_api.h"
#include "entry/operator/operator_limits.h"
#include "metrics/metrics.h"

namespace samphire {

// Creates the request handlers of the operator port. `api` and `counters` must
// outlive the factory, and the factory its handlers, which refer to its token.
// An empty `token` refuses every call.
class operator_handler_factory final
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  operator_handler_factory(operator_api& api,
                           std::string token,
                           const operator_limits& limits,
                           samphire::metrics& counters);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  operator_api& api_;
  std::string token_;
  operator_limits limits_;
  samphire::metrics& metrics_;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_HANDLER_FACTORY_H_
