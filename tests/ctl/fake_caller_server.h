#ifndef CTL_FAKE_CALLER_SERVER_H_
#define CTL_FAKE_CALLER_SERVER_H_

#include <Poco/Net/HTTPServer.h>

#include <string>

#include "ctl/function_factory.h"
#include "steering/lookup_response.h"

namespace samphire {

// A fake caller port on a free port of 127.0.0.1. Responds to each lookup with
// one entry and records the last request.
class fake_caller_server {
 public:
  fake_caller_server()
      : server_(
            new function_factory([this](auto& request, auto& response) {
              last_request_ =
                  request.getURI() + request.get("Authorization", "");
              const auto text = WriteLookupResponse(
                  {"colombo",
                   {{"entry-1", "127.0.1.1:8000", "colombo"}},
                   {},
                   41});
              response.set("Samphirewinch-Result", "0 ok");
              response.sendBuffer(text.data(), text.size());
            }),
            Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)),
            new Poco::Net::HTTPServerParams) {
    server_.start();
  }
  ~fake_caller_server() { server_.stopAll(true); }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(server_.port());
  }
  // The request target followed by the Authorization header.
  std::string last_request() const { return last_request_; }

 private:
  std::string last_request_;
  Poco::Net::HTTPServer server_;
};

}  // namespace samphire

#endif  // CTL_FAKE_CALLER_SERVER_H_
