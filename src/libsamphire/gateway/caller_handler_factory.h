#ifndef GATEWAY_CALLER_HANDLER_FACTORY_H_
#define GATEWAY_CALLER_HANDLER_FACTORY_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include <functional>
#include <string>

#include "gateway/service_handler.h"

namespace samphire {

// Creates the request handlers of the callers' port. createRequestHandler is
// called by each connection's own thread, and so are the text sources, which
// must be thread-safe.
class caller_handler_factory final
    : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  // Returns the current text of a page.
  using text_source = std::function<std::string()>;

  // `status` is the source of the JSON at /v1/status, `counters` that of the
  // metrics at /metrics.
  caller_handler_factory(service_context& context,
                         text_source status,
                         text_source counters);

  // Returns a new handler, which the server deletes; never null, as an unknown
  // path gets a handler that refuses it.
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  // Returns the handler of /readyz: 503 while the entry is leaving or has no
  // configuration.
  Poco::Net::HTTPRequestHandler* MakeReadiness();

  service_context& context_;
  text_source status_;
  text_source counters_;
};

}  // namespace samphire

#endif  // GATEWAY_CALLER_HANDLER_FACTORY_H_
