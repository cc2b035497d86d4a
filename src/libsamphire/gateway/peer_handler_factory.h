#ifndef GATEWAY_PEER_HANDLER_FACTORY_H_
#define GATEWAY_PEER_HANDLER_FACTORY_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include "gateway/peer_call_handler.h"
#include "gateway/service_handler.h"

namespace samphire {

// The handlers of the peers' port: calls between entries, and requests that
// another region's entries pass here.
class peer_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  peer_handler_factory(service_context& services, peer_call_context& calls);

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  service_context& services_;
  peer_call_context& calls_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_HANDLER_FACTORY_H_
