#include "soak/raw_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include "platform_names.h"

namespace samphire {

namespace {

// Time limit for a response. It exceeds the timeout of any route, so that only
// an entry that is suspended by a signal exceeds it.
constexpr long kResponseTimeoutSeconds = 4;
// Time left to a request, which its header tells the entry.
const std::string kDeadlineMs = "3000";

}  // namespace

raw_response SendRawRequest(const std::string& address,
                            const std::string& method,
                            const std::string& path,
                            const std::string& id,
                            const std::string& body) {
  raw_response received;
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(1, 0));
  } catch (const Poco::Exception&) {
    received.refused = true;
    return received;
  }
  try {
    Poco::Net::HTTPClientSession session(socket);
    session.setTimeout(Poco::Timespan(kResponseTimeoutSeconds, 0));
    Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
    request.setHost("h.example");
    const auto names = platform::PlatformHeaders();
    request.set(names.request_id, id);
    request.set(names.affinity_key, id.substr(id.size() - 1));
    request.set(names.deadline, kDeadlineMs);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body;
    Poco::Net::HTTPResponse response;
    Poco::StreamCopier::copyToString(session.receiveResponse(response),
                                     received.body);
    received.status = response.getStatus();
    const auto length = response.getContentLength();
    received.broken =
        length >= 0 && static_cast<std::size_t>(length) != received.body.size();
  } catch (const Poco::TimeoutException&) {
    received.status = 0;
  } catch (const Poco::Exception&) {
    received.broken = true;
  }
  return received;
}

}  // namespace samphire
