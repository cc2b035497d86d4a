#include "http_call.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace samphire {

namespace {

// Limit for connecting and for each read; only a hang exceeds it.
constexpr int kTimeoutSeconds = 10;

}  // namespace

http_reply Call(const http_call& call) {
  try {
    Poco::Net::HTTPClientSession session(
        Poco::Net::SocketAddress(call.address));
    session.setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request(call.method, call.path, "HTTP/1.1");
    for (const auto& [name, value] : call.headers)
      request.set(name, value);
    request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
    session.sendRequest(request) << call.body;
    Poco::Net::HTTPResponse response;
    auto& stream = session.receiveResponse(response);
    http_reply reply{.status = response.getStatus()};
    Poco::StreamCopier::copyToString(stream, reply.body);
    for (const auto& [name, value] : response)
      reply.headers[name] = value;
    return reply;
  } catch (const Poco::Exception&) {
    return {};
  }
}

}  // namespace samphire
