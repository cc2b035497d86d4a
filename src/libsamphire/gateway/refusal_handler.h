#ifndef GATEWAY_REFUSAL_HANDLER_H_
#define GATEWAY_REFUSAL_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerResponse.h>

#include "front/response_writer.h"
#include "metrics/metrics.h"

namespace samphire {

// Refuses a request for a path that the port doesn't serve, and counts the
// refusal.
class refusal_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  refusal_handler(result_code code, metrics& counters)
      : code_(code), metrics_(counters) {}

  void handleRequest(Poco::Net::HTTPServerRequest& /*request*/,
                     Poco::Net::HTTPServerResponse& response) override {
    metrics_.CountRefusal(code_);
    WriteRefusal(response, response_status{.code = code_});
  }

 private:
  result_code code_;
  metrics& metrics_;
};

}  // namespace samphire

#endif  // GATEWAY_REFUSAL_HANDLER_H_
