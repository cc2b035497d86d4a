#ifndef TRAFFIC_TRAFFIC_HANDLER_H_
#define TRAFFIC_TRAFFIC_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "base/error.h"
#include "gateway/response_sink.h"
#include "traffic/traffic_context.h"

namespace samphire {

// Handles one caller's request, which is routed by its host and path. The
// server creates a handler for each request and calls it on the connection's
// thread.
class traffic_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit traffic_handler(traffic_context& context) : context_(context) {}

  // Blocks until the response was sent or the caller disconnected.
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  // Refuses a request that could not be read or routed. `id` is the request's
  // id.
  void Refuse(response_sink& sink,
              const std::string& id,
              const error& why) const;

  traffic_context& context_;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_HANDLER_H_
