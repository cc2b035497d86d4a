#ifndef GATEWAY_PEER_HANDLER_FACTORY_H_
#define GATEWAY_PEER_HANDLER_FACTORY_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>

#include "gateway/peer_call_handler.h"
#include "gateway/service_handler.h"

namespace samphire {

// Creates the request handlers of the peers' port: for calls between entries,
// and for requests that entries of other regions forward. createRequestHandler
// is called by each connection's own thread.
class peer_handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  peer_handler_factory(service_context& services, peer_call_context& calls);

  // Returns a new handler, which the server deletes; never null.
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& request) override;

 private:
  service_context& services_;
  peer_call_context& calls_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_HANDLER_FACTORY_H_
