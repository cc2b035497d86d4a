#include "ctl/operator_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>

#include "entry/operator/operator_handler_factory.h"
#include "entry/operator/operator_routes.h"

namespace samphire {

namespace {

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPRequestHandlerFactory;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Does the call and cuts the connection instead of answering.
class cutting_handler final : public HTTPRequestHandler {
 public:
  explicit cutting_handler(operator_api& api) : api_(api) {}

  void handleRequest(HTTPServerRequest& request, HTTPServerResponse&) override {
    auto call =
        ParseOperatorCall(request.getMethod(), request.getURI()).value();
    Poco::StreamCopier::copyToString(request.stream(), call.body);
    const auto ignored = DispatchOperatorCall(api_, call);
    dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request)
        .socket()
        .shutdown();
  }

 private:
  operator_api& api_;
};

class cutting_factory final : public HTTPRequestHandlerFactory {
 public:
  cutting_factory(operator_api& api, HTTPRequestHandlerFactory::Ptr whole)
      : api_(api), whole_(std::move(whole)) {}

  HTTPRequestHandler* createRequestHandler(
      const HTTPServerRequest& request) override {
    if (request.getMethod() == "GET")
      return whole_->createRequestHandler(request);
    return new cutting_handler(api_);
  }

 private:
  operator_api& api_;
  HTTPRequestHandlerFactory::Ptr whole_;
};

HTTPRequestHandlerFactory::Ptr FactoryOf(operator_api& api,
                                         operator_server::answers kept,
                                         const operator_limits& limits,
                                         metrics& counters) {
  HTTPRequestHandlerFactory::Ptr whole =
      new operator_handler_factory(api, kTestToken, limits, counters);
  if (kept == operator_server::answers::kAll)
    return whole;
  return new cutting_factory(api, whole);
}

}  // namespace

operator_server::operator_server(fake_operator_api& api,
                                 answers kept,
                                 const operator_limits& limits)
    : server_(FactoryOf(api, kept, limits, counters_),
              Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)),
              new Poco::Net::HTTPServerParams) {
  server_.start();
}

operator_server::~operator_server() {
  server_.stopAll(true);
}

std::string operator_server::url() const {
  return "http://" + address().toString();
}

Poco::Net::SocketAddress operator_server::address() const {
  return {"127.0.0.1", server_.port()};
}

std::string DeadUrl() {
  Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
  const auto port = closed.address().port();
  closed.close();
  return "http://127.0.0.1:" + std::to_string(port);
}

}  // namespace samphire
