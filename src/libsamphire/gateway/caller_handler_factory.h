#ifndef GATEWAY_CALLER_HANDLER_FACTORY_H_
#define GATEWAY_CALLER_HANDLER_FACTORY_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <functional>
#include <string>

#include "gateway/service_handler.h"

namespace samphire {

// The handlers of the callers' port.
class caller_handler_factory final
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  using text_source = std::function<std::string()>;

  caller_handler_factory(service_context& context,
                         text_source status,
                         text_source counters);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  Poco::Net::HTTPRequestHandler* MakeReadiness();

  service_context& context_;
  text_source status_;
  text_source counters_;
};

}  // namespace samphire

#endif  // GATEWAY_CALLER_HANDLER_FACTORY_H_
