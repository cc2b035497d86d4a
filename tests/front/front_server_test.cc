#include "front/front_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "front/answer_writer.h"
#include "front/front_request.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

class echo_handler final : public Poco::Net::HTTPRequestHandler {
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    auto& whole = static_cast<front_request&>(request);
    const auto body =
        whole.ReadBody(1000, std::chrono::steady_clock::now() + 10s);
    if (!body) {
      WriteRefusal(response, answer_note{.code = body.error().code});
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

// Sends the bytes and reads until the server closes.
std::string Talk(Poco::Net::StreamSocket socket, const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  std::string answer;
  std::array<char, 4096> buffer{};
  try {
    for (int got = 1; got > 0;) {
      got = socket.receiveBytes(buffer.data(), buffer.size());
      answer.append(buffer.data(), static_cast<std::size_t>(std::max(got, 0)));
    }
  } catch (const Poco::Exception&) {
    // A reset ends the answer too.
  }
  return answer;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("requests on one connection are answered in turn") {
  running_server running{front_limits{}};
  const auto answer =
      Talk(running.Connect(),
           "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"
           "GET /second HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(answer.find("/first") < answer.find("/second"));
  CHECK(Has(answer, "/second"));
}

TEST_CASE("what is not HTTP gets a numbered answer") {
  // A broken or hostile caller sends bytes that are no request. Without a
  // number the person at the other end sees only a closed connection.
  running_server running{front_limits{}};
  for (const std::string& bytes :
       {std::string("\x16\x03\x01\r\n\r\n"),
        "GET / HTTP/1.1\r\nA: " + std::string(9000, 'a') + "\r\n\r\n",
        "GET / HTTP/1.1\r\n" + std::string(2000, 'n') + ": 1\r\n\r\n"}) {
    CHECK(Has(Talk(running.Connect(), bytes), "2001 malformed-request"));
  }
  CHECK(running.counters.counter("refusals_total",
                                 "reason=\"malformed-request\"") == 3);
}

TEST_CASE("an endless head is refused by size") {
  running_server running{front_limits{.max_header_bytes = 1024}};
  const auto answer =
      Talk(running.Connect(), "GET / HTTP/1.1\r\nA: " + std::string(2000, 'a'));
  CHECK(Has(answer, "431"));
  CHECK(Has(answer, "2002 header-too-large"));
}

TEST_CASE("a head that never ends is refused by time") {
  // A caller on a bad link, or one that means harm, sends half a request and
  // stops. Some hundred of these would hold every thread of the entry.
  running_server running{front_limits{.header_timeout = 20ms}};
  const auto answer = Talk(running.Connect(), "GET / HTTP/1.1\r\nHost:");
  CHECK(Has(answer, "408"));
  CHECK(Has(answer, "2009 request-too-slow"));
}

TEST_CASE("a connection over the limit is told to come back") {
  // A crowd opens more connections than the entry serves. A silent close would
  // make every caller ask again at once.
  running_server running{front_limits{.max_connections = 1}};
  auto first = running.Connect();
  const std::string request = "GET /one HTTP/1.1\r\nHost: x\r\n\r\n";
  first.sendBytes(request.data(), static_cast<int>(request.size()));
  std::array<char, 4096> buffer{};
  REQUIRE(first.receiveBytes(buffer.data(), buffer.size()) > 0);
  const auto answer = Talk(running.Connect(), "");
  CHECK(Has(answer, "2107 too-many-connections"));
  CHECK(Has(answer, "Retry-After: 1"));
}

TEST_CASE("a chunked body that breaks off is never served as whole") {
  // The link to a technician fails in the middle of an upload. Half a claim
  // that looked like a whole one would be filed.
  running_server running{front_limits{}};
  auto caller = running.Connect();
  const std::string half =
      "POST /claim HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n";
  caller.sendBytes(half.data(), static_cast<int>(half.size()));
  caller.shutdownSend();
  CHECK(Has(Talk(caller, ""), "2001 malformed-request"));
}

TEST_CASE("two lengths at once are refused, since one may hide a request") {
  // A hostile caller hides a second request in the body of the first; its
  // answer would go to whoever shares the connection.
  running_server running{front_limits{}};
  for (const std::string& lengths :
       {std::string("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Content-Length: 5\r\nContent-Length: 6\r\n"),
        std::string("Transfer-Encoding: gzip\r\n"),
        std::string("Content-Length: -1\r\n")}) {
    const auto answer = Talk(running.Connect(),
                             "POST /claim HTTP/1.1\r\nHost: x\r\n" + lengths +
                                 "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\n\r\n");
    INFO(lengths);
    INFO(answer);
    CHECK(Has(answer, "2001 malformed-request"));
    CHECK_FALSE(Has(answer, "/hidden"));
  }
}
