#include "front/front_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "front/front_request.h"
#include "front/response_writer.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Responds with the URI of the request, after reading its body.
class echo_handler final : public Poco::Net::HTTPRequestHandler {
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    auto& body_request = static_cast<front_request&>(request);
    const auto body =
        body_request.ReadBody(1000, std::chrono::steady_clock::now() + 10s);
    if (!body) {
      WriteRefusal(response, response_status{.code = body.error().code});
      return;
    }
    WriteBody(response, "text/plain", request.getURI());
  }
};

class echo_factory final : public Poco::Net::HTTPRequestHandlerFactory {
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new echo_handler;
  }
};

struct running_server {
  metrics counters;
  front_server server;

  explicit running_server(front_limits limits)
      : server("127.0.0.1:0", new echo_factory, limits, counters) {
    server.Start();
  }
  Poco::Net::StreamSocket Connect() {
    return Poco::Net::StreamSocket(Poco::Net::SocketAddress(server.address()));
  }
};

// Sends the bytes and returns everything received until the server closes.
std::string SendAndReadToClose(Poco::Net::StreamSocket socket,
                               const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string response_text;
  std::array<char, 4096> buffer{};
  try {
    for (int got = 1; got > 0;) {
      got = socket.receiveBytes(buffer.data(), buffer.size());
      response_text.append(buffer.data(),
                           static_cast<std::size_t>(std::max(got, 0)));
    }
  } catch (const Poco::Exception&) {
    // A reset ends the response too.
  }
  return response_text;
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("requests on one connection are served in order") {
  running_server running{front_limits{}};
  const auto response_text = SendAndReadToClose(
      running.Connect(),
      "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"
      "GET /second HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(response_text.find("/first") < response_text.find("/second"));
  CHECK(Contains(response_text, "/second"));
}

TEST_CASE("input that is not HTTP is refused with a result code") {
  // A faulty or hostile caller sends bytes that are not a request. Without a
  // result code its operator would see only a closed connection.
  running_server running{front_limits{}};
  for (const std::string& bytes :
       {std::string("\x16\x03\x01\r\n\r\n"),
        "GET / HTTP/1.1\r\nA: " + std::string(9000, 'a') + "\r\n\r\n",
        "GET / HTTP/1.1\r\n" + std::string(2000, 'n') + ": 1\r\n\r\n"}) {
    CHECK(Contains(SendAndReadToClose(running.Connect(), bytes),
                   "2001 malformed-request"));
  }
  CHECK(running.counters.counter("refusals_total",
                                 "reason=\"malformed-request\"") == 3);
}

TEST_CASE("a head over the size limit is refused") {
  running_server running{front_limits{.max_header_bytes = 1024}};
  const auto response_text = SendAndReadToClose(
      running.Connect(), "GET / HTTP/1.1\r\nA: " + std::string(2000, 'a'));
  CHECK(Contains(response_text, "431"));
  CHECK(Contains(response_text, "2002 header-too-large"));
}

TEST_CASE("a head that is not completed in time is refused") {
  // A caller on a bad link, or a hostile one, sends half a request and stops.
  // Some hundred such connections would occupy every thread of the entry.
  running_server running{front_limits{.header_timeout = 20ms}};
  const auto response_text =
      SendAndReadToClose(running.Connect(), "GET / HTTP/1.1\r\nHost:");
  CHECK(Contains(response_text, "408"));
  CHECK(Contains(response_text, "2009 request-too-slow"));
}

TEST_CASE("a connection over the limit is refused with a retry time") {
  // Callers open more connections than the entry serves. Closing them without a
  // response would make every caller retry immediately.
  running_server running{front_limits{.max_connections = 1}};
  auto first = running.Connect();
  const std::string request = "GET /one HTTP/1.1\r\nHost: x\r\n\r\n";
  first.sendBytes(request.data(), static_cast<int>(request.size()));
  std::array<char, 4096> buffer{};
  REQUIRE(first.receiveBytes(buffer.data(), buffer.size()) > 0);
  const auto response_text = SendAndReadToClose(running.Connect(), "");
  CHECK(Contains(response_text, "2107 too-many-connections"));
  CHECK(Contains(response_text, "Retry-After: 1"));
}

TEST_CASE("a truncated chunked body is never served as complete") {
  // The link to a caller fails in the middle of an upload. A truncated claim
  // taken for a complete one would be stored.
  running_server running{front_limits{}};
  auto caller = running.Connect();
  const std::string half =
      "POST /claim HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n";
  caller.sendBytes(half.data(), static_cast<int>(half.size()));
  caller.shutdownSend();
  CHECK(Contains(SendAndReadToClose(caller, ""), "2001 malformed-request"));
}

TEST_CASE("conflicting body lengths are refused as request smuggling") {
  // A hostile caller hides a second request in the body of the first. The
  // response to it would go to another caller that shares the connection.
  running_server running{front_limits{}};
  for (const std::string& lengths :
       {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Content-Length: 5\r\nContent-Length: 6\r\n"),
        std::string("Transfer-Encoding: gzip\r\n"),
        std::string("Content-Length: -1\r\n")}) {
    const auto response_text = SendAndReadToClose(
        running.Connect(), "POST /claim HTTP/1.1\r\nHost: x\r\n" + lengths +
                               "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
    INFO(lengths);
    INFO(response_text);
    CHECK(Contains(response_text, "2001 malformed-request"));
    CHECK_FALSE(Contains(response_text, "/hidden"));
  }
}
