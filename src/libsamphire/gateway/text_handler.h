#ifndef GATEWAY_TEXT_HANDLER_H_
#define GATEWAY_TEXT_HANDLER_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <string>
#include <utility>

#include "front/response_writer.h"

namespace samphire {

// Responds with a text that is generated for each request, on its connection's
// thread.
class text_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  // Returns the response body.
  using text_source = std::function<std::string()>;

  // `status` is the HTTP status of the response.
  text_handler(std::string content_type, text_source source, int status = 200)
      : content_type_(std::move(content_type)),
        source_(std::move(source)),
        status_(status) {}

  void handleRequest(Poco::Net::HTTPServerRequest& /*request*/,
                     Poco::Net::HTTPServerResponse& response) override {
    response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status_));
    response.setReason(
        Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    WriteBody(response, content_type_, source_());
  }

 private:
  std::string content_type_;
  text_source source_;
  int status_;
};

}  // namespace samphire

#endif  // GATEWAY_TEXT_HANDLER_H_
