#ifndef TRAFFIC_TRAFFIC_HANDLER_H_
#define TRAFFIC_TRAFFIC_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "base/error.h"
#include "gateway/answer_sink.h"
#include "traffic/traffic_context.h"

namespace samphire {

// Answers one caller's request by its host and path.
class traffic_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit traffic_handler(traffic_context& context) : context_(context) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override;

 private:
  void Refuse(answer_sink& sink, const std::string& id, const error& why) const;

  traffic_context& context_;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_HANDLER_H_
