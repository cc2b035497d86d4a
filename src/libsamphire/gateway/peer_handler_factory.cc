#include "gateway/peer_handler_factory.h"

#include <Poco/Net/HTTPServerRequest.h>

#include "gateway/peer_call_path.h"
#include "gateway/refusal_handler.h"

namespace samphire {

peer_handler_factory::peer_handler_factory(service_context& services,
                                           peer_call_context& calls)
    : services_(services), calls_(calls) {}

Poco::Net::HTTPRequestHandler* peer_handler_factory::createRequestHandler(
    const Poco::Net::HTTPServerRequest& request) {
  if (request.getURI() == kPeerCallPath)
    return new peer_call_handler(calls_);
  if (request.getURI().starts_with("/v1/services/"))
    return new service_handler(services_, true);
  return new refusal_handler(result_code::kUnknownPath, calls_.counters);
}

}  // namespace samphire
