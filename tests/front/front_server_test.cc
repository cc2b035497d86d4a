#include "front/front_server.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "front/front_request.h"
#include "front/response_writer.h"
#include "traffic/handler_factory.h"

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

// Counts as a request in progress until `release` is set, then responds.
class held_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit held_handler(const std::atomic<bool>& release) : release_(release) {}

  void handleRequest(Poco::Net::HTTPServerRequest& /*request*/,
                     Poco::Net::HTTPServerResponse& response) override {
    while (!release_)
      std::this_thread::sleep_for(1ms);
    WriteBody(response, "text/plain", "held");
  }

 private:
  const std::atomic<bool>& release_;
};

// Sets a header that ends its own line.
class spoilt_handler final : public Poco::Net::HTTPRequestHandler {
  void handleRequest(Poco::Net::HTTPServerRequest& /*request*/,
                     Poco::Net::HTTPServerResponse& response) override {
    response.set("Location", "/a\r\n\r\nhidden");
    WriteBody(response, "text/plain", "hidden");
  }
};

class held_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit held_factory(const std::atomic<bool>& release) : release_(release) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new held_handler(release_);
  }

 private:
  const std::atomic<bool>& release_;
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

void Send(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

// Returns everything received until the server closes.
std::string ReadToClose(const Poco::Net::StreamSocket& connection) {
  auto socket = connection;
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

// Sends the bytes and returns everything received until the server closes.
std::string SendAndReadToClose(Poco::Net::StreamSocket socket,
                               const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  return ReadToClose(socket);
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
        std::string("GET / HTTP/1.1\r\nHost: x\r\nA b\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\n\r\n")}) {
    CHECK(Contains(SendAndReadToClose(running.Connect(), bytes),
                   "2001 malformed-request"));
  }
  CHECK(running.counters.counter("refusals_total",
                                 "reason=\"malformed-request\"") == 3);
}

TEST_CASE("a refusal of a malformed request names what is wrong") {
  running_server running{front_limits{}};
  const auto text = SendAndReadToClose(
      running.Connect(),
      "GET / HTTP/1.1\r\nHost: x\r\nContent-Length: +5\r\n\r\n");
  CHECK(Contains(text, R"("detail":"invalid or repeated Content-Length")"));
}

// Guards against bounds of a library below those that the settings declare:
// sound requests with a long value, or with more than a hundred headers, were
// refused.
TEST_CASE("heads are bounded by the settings alone") {
  running_server running{front_limits{.max_header_bytes = 16'384}};
  std::string many;
  for (int i = 0; i < 900; ++i)
    many += "A: " + std::to_string(i) + "\r\n";
  for (const auto& headers : {"A: " + std::string(16'000, 'a') + "\r\n",
                              std::string(16'000, 'n') + ": 1\r\n", many}) {
    CHECK(Contains(
        SendAndReadToClose(running.Connect(), "GET /x HTTP/1.1\r\nHost: x\r\n" +
                                                  headers +
                                                  "Connection: close\r\n\r\n"),
        "200 OK"));
  }
}

TEST_CASE("a head over the size limit is refused") {
  running_server running{front_limits{.max_header_bytes = 1024}};
  const auto response_text = SendAndReadToClose(
      running.Connect(), "GET / HTTP/1.1\r\nA: " + std::string(2000, 'a'));
  CHECK(Contains(response_text, "431"));
  CHECK(Contains(response_text, "2002 header-too-large"));
}

// Guards against bounds that hold for the first head of a connection only: one
// behind it could be of any size, and hold a thread for as long as its caller
// sent single bytes.
TEST_CASE("a pipelined head has the bounds of the first one") {
  running_server running{
      front_limits{.max_header_bytes = 1024, .header_timeout = 100ms}};
  const std::string first = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
  const auto large = SendAndReadToClose(
      running.Connect(), first + "GET /y HTTP/1.1\r\nHost: x\r\nA: " +
                             std::string(2000, 'a') + "\r\n\r\n");
  CHECK(Contains(large, "2002 header-too-large"));
  CHECK_FALSE(Contains(large, "/y"));
  auto slow = running.Connect();
  Send(slow, first + "GET /y HTTP/1.1\r\nHo");
  const auto begun = std::chrono::steady_clock::now();
  std::jthread drip([slow](const std::stop_token& stop) mutable {
    for (int i = 0; i < 100 && !stop.stop_requested(); ++i) {
      try {
        Send(slow, "s");
      } catch (const Poco::Exception&) {
        return;
      }
      std::this_thread::sleep_for(20ms);
    }
  });
  CHECK(Contains(ReadToClose(slow), "2009 request-too-slow"));
  CHECK(std::chrono::steady_clock::now() - begun < 1000ms);
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

// Guards against a line break in whatever a handler sets as a header: what
// stands behind it would be another header of the response, or its body.
TEST_CASE("a response whose head can't be sent is replaced by a refusal") {
  metrics counters;
  front_server server(
      "127.0.0.1:0",
      new handler_factory([](const Poco::Net::HTTPServerRequest&) {
        return new spoilt_handler;
      }),
      front_limits{}, counters);
  server.Start();
  const auto text = SendAndReadToClose(
      Poco::Net::StreamSocket(Poco::Net::SocketAddress(server.address())),
      "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(text.starts_with("HTTP/1.1 502 "));
  CHECK(Contains(text, "2211 unsendable-head"));
  CHECK_FALSE(Contains(text, "hidden"));
  CHECK(counters.counter("refusals_total", "reason=\"unsendable-head\"") == 1);
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

namespace {

const std::string kGet = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";

// A port with one request that is not answered before `release` is set.
struct held_request {
  std::atomic<bool> release = false;
  metrics counters;
  front_server server{"127.0.0.1:0", new held_factory(release), front_limits{},
                      counters};
  Poco::Net::SocketAddress address{server.address()};
  Poco::Net::StreamSocket held{address};

  held_request() {
    server.Start();
    Send(held, kGet);
    while (server.active_requests() == 0)
      std::this_thread::sleep_for(1ms);
  }
};

}  // namespace

// Guards against a port that closes idle connections without a word when it
// begins to refuse: a request that crosses the close may have run, for all its
// caller can tell.
TEST_CASE("connections that are idle when the port refuses are told") {
  running_server running{front_limits{}};
  auto used = running.Connect();
  Send(used, kGet);
  std::array<char, 4096> buffer{};
  REQUIRE(used.receiveBytes(buffer.data(), buffer.size()) > 0);
  auto unused = running.Connect();
  auto begun = running.Connect();
  Send(begun, "GET /x HTTP/1.1\r\nHost:");
  std::this_thread::sleep_for(20ms);
  running.server.SetPhase(front_phase::kRefusing);
  for (auto* each : {&used, &unused, &begun})
    CHECK(Contains(ReadToClose(*each), "2108 entry-leaving"));
  CHECK(running.server.refused_while_leaving() == 3);
}

// Guards against connections that wait in a queue and are dropped when the
// port closes.
TEST_CASE("connections that come while the port closes are refused") {
  running_server running{front_limits{}};
  running.server.StopAccepting();
  std::vector<Poco::Net::StreamSocket> waiting;
  for (int i = 0; i < 50; ++i) {
    waiting.push_back(running.Connect());
    Send(waiting.back(), kGet);
  }
  running.server.RefuseWaiting(std::chrono::steady_clock::now() + 5s);
  for (int i = 0; i < 50; ++i)
    waiting.push_back(running.Connect());
  std::thread close(
      [&] { running.server.Close(std::chrono::steady_clock::now() + 5s); });
  for (auto& each : waiting)
    CHECK(Contains(ReadToClose(each), "2108 entry-leaving"));
  close.join();
}

// Guards against a stop that breaks off nothing in time, because it refuses
// connections for as long as callers come back.
TEST_CASE("refusing those that wait ends by its deadline") {
  running_server running{front_limits{}};
  running.server.StopAccepting();
  std::vector<Poco::Net::StreamSocket> waiting;
  waiting.reserve(50);
  for (int i = 0; i < 50; ++i)
    waiting.push_back(running.Connect());
  running.server.RefuseWaiting(std::chrono::steady_clock::now());
  CHECK(running.server.refused_while_leaving() == 0);
  running.server.RefuseWaiting(std::chrono::steady_clock::now() + 5s);
  CHECK(running.server.refused_while_leaving() == 50);
}

// Guards against a port that takes its requests with it when it closes.
TEST_CASE("a closed port takes no connections and keeps those it has") {
  held_request r;
  r.server.ClosePort();
  r.server.RefuseWaiting(std::chrono::steady_clock::now() + 5s);
  CHECK_THROWS_AS(Poco::Net::StreamSocket(r.address),
                  Poco::Net::ConnectionRefusedException);
  r.release = true;
  CHECK(Contains(ReadToClose(r.held), "held"));
}

// Guards against a close that lasts as long as callers reconnect, or for as
// long as a refused one neither reads nor closes.
TEST_CASE("closing a port ends by its deadline") {
  held_request r;
  std::atomic<bool> calling = true;
  constexpr std::size_t kCallers = 8;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      std::vector<Poco::Net::StreamSocket> left_open;
      while (calling) {
        try {
          left_open.emplace_back(r.address);
          Send(left_open.back(), kGet);
        } catch (const Poco::Exception&) {
          std::this_thread::sleep_for(1ms);
        }
        if (left_open.size() > 20)
          left_open.erase(left_open.begin());
      }
    });
  }
  const auto began = std::chrono::steady_clock::now();
  r.server.Close(began + 700ms);
  const auto took = std::chrono::steady_clock::now() - began;
  CHECK(took >= 700ms);
  CHECK(took < 1500ms);
  r.release = true;
  calling = false;
  for (auto& each : callers)
    each.join();
  CHECK(Contains(ReadToClose(r.held), "held"));
}

// Guards against a close with unread input, which resets the connection and may
// take the response with it.
TEST_CASE("a response before a close survives requests that come behind it") {
  running_server running{front_limits{}};
  running.server.SetPhase(front_phase::kNoKeepAlive);
  for (int i = 0; i < 20; ++i) {
    auto caller = running.Connect();
    std::string bytes = kGet;
    for (int k = 0; k < 200; ++k)
      bytes += kGet;
    Send(caller, bytes);
    std::this_thread::sleep_for(5ms);
    CHECK(Contains(ReadToClose(caller), "/x"));
  }
}

// Guards against an upload that waits for the rest of its body when the process
// is to end, and gets no answer.
TEST_CASE("an upload that is not complete when the port cuts is told") {
  running_server running{front_limits{}};
  auto caller = running.Connect();
  Send(caller, "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
  while (running.server.active_requests() == 0)
    std::this_thread::sleep_for(1ms);
  running.server.SetPhase(front_phase::kCutting);
  CHECK(Contains(ReadToClose(caller), "2108 entry-leaving"));
}

// Guards against one caller that does not read its refusal and keeps all others
// waiting.
TEST_CASE("refusing a full port's connections keeps nobody waiting") {
  running_server running{front_limits{.max_connections = 1}};
  auto first = running.Connect();
  Send(first, kGet);
  std::array<char, 4096> buffer{};
  REQUIRE(first.receiveBytes(buffer.data(), buffer.size()) > 0);
  constexpr std::size_t kSilent = 20;
  std::vector<Poco::Net::StreamSocket> silent;
  silent.reserve(kSilent);
  for (std::size_t i = 0; i < kSilent; ++i)
    silent.push_back(running.Connect());
  const auto began = std::chrono::steady_clock::now();
  CHECK(Contains(ReadToClose(running.Connect()), "2107 too-many-connections"));
  CHECK(std::chrono::steady_clock::now() - began < 900ms);
}
