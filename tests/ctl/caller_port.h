#ifndef CTL_CALLER_PORT_H_
#define CTL_CALLER_PORT_H_

#include <Poco/Net/HTTPServer.h>

#include <string>

#include "ctl/function_factory.h"
#include "steering/lookup_response.h"

namespace samphire {

// Answers look-ups with one entry and keeps what was asked.
class caller_port {
 public:
  caller_port()
      : server_(
            new function_factory([this](auto& request, auto& response) {
              asked_ = request.getURI() + request.get("Authorization", "");
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
  ~caller_port() { server_.stopAll(true); }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(server_.port());
  }
  std::string asked() const { return asked_; }

 private:
  std::string asked_;
  Poco::Net::HTTPServer server_;
};

}  // namespace samphire

#endif  // CTL_CALLER_PORT_H_
