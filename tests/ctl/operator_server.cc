#include "ctl/operator_server.h"

#include <Poco/Net/ServerSocket.h>

#include <chrono>
#include <memory>

#include "ctl/function_factory.h"
#include "entry/operator/operator_handler_factory.h"
#include "entry/operator/operator_routes.h"
#include "front/front_request.h"

namespace samphire {

namespace {

using Poco::Net::HTTPRequestHandlerFactory;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Executes a change and drops the connection instead of responding.
void ApplyAndDropConnection(operator_api& api, HTTPServerRequest& request) {
  auto& incoming = dynamic_cast<front_request&>(request);
  auto call = ParseOperatorCall(request.getMethod(), request.getURI()).value();
  call.body = incoming
                  .ReadBody(kMaxJsonBytes, std::chrono::steady_clock::now() +
                                               std::chrono::seconds(10))
                  .value();
  const auto ignored = DispatchOperatorCall(api, call);
  incoming.socket().shutdown();
}

HTTPRequestHandlerFactory::Ptr FactoryOf(operator_api& api,
                                         operator_server::response_mode mode,
                                         const operator_limits& limits,
                                         metrics& counters) {
  HTTPRequestHandlerFactory::Ptr whole =
      new operator_handler_factory(api, kTestToken, limits, counters);
  if (mode == operator_server::response_mode::kAll)
    return whole;
  return new function_factory([&api, whole](HTTPServerRequest& request,
                                            HTTPServerResponse& response) {
    if (request.getMethod() != "GET")
      return ApplyAndDropConnection(api, request);
    std::unique_ptr<Poco::Net::HTTPRequestHandler>(
        HTTPRequestHandlerFactory::Ptr(whole)->createRequestHandler(request))
        ->handleRequest(request, response);
  });
}

}  // namespace

operator_server::operator_server(fake_operator_api& api,
                                 response_mode mode,
                                 const operator_limits& limits)
    : server_("127.0.0.1:0",
              FactoryOf(api, mode, limits, counters_),
              front_limits{},
              counters_) {
  server_.Start();
}

std::string operator_server::url() const {
  return "http://" + address().toString();
}

Poco::Net::SocketAddress operator_server::address() const {
  return Poco::Net::SocketAddress(server_.address());
}

std::string UnreachableUrl() {
  Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
  const auto port = closed.address().port();
  closed.close();
  return "http://127.0.0.1:" + std::to_string(port);
}

}  // namespace samphire
