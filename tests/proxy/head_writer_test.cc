#include "proxy/head_writer.h"

#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "proxy/http_exchange.h"

using namespace samphire;

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

HTTPRequest SoundRequest() {
  HTTPRequest request("POST", "/claims?a=%0d%0a", "HTTP/1.1");
  request.set("Host", "target");
  request.set("X-Note", "=?UTF-8?Q?=0D=0A?= \xc3\xa4");
  request.set("X-Empty", "");
  request.set("Content-Length", "3");
  return request;
}

// Ways to spoil a request, whoever does it.
std::vector<std::function<void(HTTPRequest&)>> Spoilers() {
  return {
      [](auto& r) { r.set("X-A", "b\r\nRequest-Id: other"); },
      [](auto& r) { r.set("X-A", "b\nc"); },
      [](auto& r) { r.set("X-A", "b\rc"); },
      [](auto& r) { r.set("X-A", std::string("b\0c", 3)); },
      [](auto& r) { r.set("X-A", "b\x7f"); },
      [](auto& r) { r.set("X-A\r\nX-B", "c"); },
      [](auto& r) { r.set("X A", "b"); },
      [](auto& r) { r.set("X-A:", "b"); },
      [](auto& r) { r.set("", "b"); },
      [](auto& r) { r.set("Host", "h\r\n\r\nGET / HTTP/1.1"); },
      [](auto& r) { r.add("content-length", "3"); },
      [](auto& r) { r.add("Transfer-Encoding", "chunked"); },
      [](auto& r) { r.setMethod("GET /x HTTP/1.1\r\nPOST"); },
      [](auto& r) { r.setMethod(""); },
      [](auto& r) { r.setURI("/a b"); },
      [](auto& r) { r.setURI("/a\r\nX-A: b"); },
      [](auto& r) { r.setURI(""); },
      [](auto& r) { r.setVersion("HTTP/1.1\r\nX-A: b"); },
  };
}

}  // namespace

// Guards against a line break in any part of a head, which would let the
// receiver read another header, or another request.
TEST_CASE("a head that could be read in two ways is not written") {
  CHECK(WriteHead(SoundRequest()).value() ==
        "POST /claims?a=%0d%0a HTTP/1.1\r\nHost: target\r\n"
        "X-Note: =?UTF-8?Q?=0D=0A?= \xc3\xa4\r\nX-Empty: \r\n"
        "Content-Length: 3\r\n\r\n");
  int number = 0;
  for (const auto& spoil : Spoilers()) {
    INFO(number++);
    auto request = SoundRequest();
    spoil(request);
    const auto written = WriteHead(request);
    REQUIRE_FALSE(written);
    CHECK(written.error().code == result_code::kUnsendableHead);
  }
}

TEST_CASE("a response that could be read in two ways is not written") {
  const auto sound = [] {
    HTTPResponse response(HTTPResponse::HTTP_OK, "Fine \xc3\xa4");
    response.setVersion("HTTP/1.1");
    response.set("X-Note", "a");
    return response;
  };
  CHECK(WriteHead(sound()).value() ==
        "HTTP/1.1 200 Fine \xc3\xa4\r\nX-Note: a\r\n\r\n");
  auto reason = sound();
  reason.setReason("OK\r\nX-A: b");
  CHECK_FALSE(WriteHead(reason));
  auto value = sound();
  value.set("Location", "/a\r\n\r\nHTTP/1.1 200 OK");
  CHECK_FALSE(WriteHead(value));
  auto status = sound();
  status.setStatus(static_cast<HTTPResponse::HTTPStatus>(0));
  CHECK_FALSE(WriteHead(status));
  auto lengths = sound();
  lengths.add("Content-Length", "1");
  lengths.add("Content-Length", "2");
  CHECK_FALSE(WriteHead(lengths));
}

// Guards against part of such a request on the wire, and against a target that
// is blamed for what it never got.
TEST_CASE("nothing of a request with such a head is sent") {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  connection_pool pool;
  const caller_watch no_caller;
  http_exchange exchange(
      pool, listener.address().toString(), no_caller,
      std::chrono::steady_clock::now() + std::chrono::seconds(2));
  REQUIRE(exchange.Connect(connection_use::kNew));
  auto peer = listener.acceptConnection();
  auto request = SoundRequest();
  request.set("X-A", "b\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h");
  const auto sent = exchange.Send(request, "abc");
  REQUIRE(sent.has_error());
  CHECK(sent.error().code == result_code::kUnsendableHead);
  CHECK(exchange.stage() == exchange_stage::kConnecting);
  CHECK_FALSE(
      peer.poll(Poco::Timespan(50'000), Poco::Net::Socket::SELECT_READ));
}
