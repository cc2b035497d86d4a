#ifndef CTL_CALLER_PORT_H_
#define CTL_CALLER_PORT_H_

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <string>

#include "steering/lookup_answer.h"

namespace samphire {

// Answers look-ups with one entry and keeps what was asked.
class caller_port {
 public:
  caller_port()
      : server_(
            new factory(asked_),
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
  class handler final : public Poco::Net::HTTPRequestHandler {
   public:
    explicit handler(std::string& asked) : asked_(asked) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
      asked_ = request.getURI() + request.get("Authorization", "");
      const auto text = WriteLookupAnswer(
          {"colombo", {{"entry-1", "127.0.1.1:8000", "colombo"}}, {}, 41});
      response.set("Samphirewinch-Result", "0 ok");
      response.sendBuffer(text.data(), text.size());
    }

   private:
    std::string& asked_;
  };

  class factory final : public Poco::Net::HTTPRequestHandlerFactory {
   public:
    explicit factory(std::string& asked) : asked_(asked) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(
        const Poco::Net::HTTPServerRequest&) override {
      return new handler(asked_);
    }

   private:
    std::string& asked_;
  };

  std::string asked_;
  Poco::Net::HTTPServer server_;
};

}  // namespace samphire

#endif  // CTL_CALLER_PORT_H_
