#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "ctl/operator_server.h"
#include "entry/operator/secret_equals.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr const char* kDrain =
    R"({"name":"d","scope":"region","subject":"kandy",)"
    R"("starts_at":"2026-12-02T22:00:00Z","deadline":"2026-12-02T23:00:00Z"})";

struct http_response {
  int status = 0;
  std::string result;
  std::string body;
};

// Sends one call and reads the response.
http_response SendCall(
    const operator_server& server,
    const std::string& method,
    const std::string& target,
    const std::string& body = "",
    const std::string& authorization = std::string("Bearer ") + kTestToken) {
  Poco::Net::HTTPClientSession session(server.address());
  Poco::Net::HTTPRequest request(method, target,
                                 Poco::Net::HTTPMessage::HTTP_1_1);
  if (!authorization.empty())
    request.set("Authorization", authorization);
  request.setContentLength64(static_cast<Poco::Int64>(body.size()));
  session.sendRequest(request) << body;
  Poco::Net::HTTPResponse response;
  http_response got;
  Poco::StreamCopier::copyToString(session.receiveResponse(response), got.body);
  got.status = response.getStatus();
  got.result = response.get("Samphirewinch-Result", "");
  return got;
}

// Reads until the server closes the connection.
std::string ReadToEnd(Poco::Net::StreamSocket& socket) {
  std::string text;
  char piece[4096];
  for (int got = 1; got > 0;) {
    got = socket.receiveBytes(piece, sizeof(piece));
    text.append(piece, static_cast<std::size_t>(std::max(got, 0)));
  }
  return text;
}

// Returns the head of an authorized apply call with a body of `length` bytes.
std::string ApplyHead(std::size_t length) {
  return "POST /v1/config/apply?apply_id=i&operator=o HTTP/1.1\r\n"
         "Host: x\r\nAuthorization: Bearer " +
         std::string(kTestToken) +
         "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

}  // namespace

TEST_CASE("every call of the protocol is routed to its operation") {
  fake_operator_api api;
  const operator_server server(api);
  struct expected_call {
    std::string method;
    std::string target;
    std::string body;
    std::string call;
  };
  const expected_call cases[] = {
      {"POST", "/v1/config/apply?apply_id=i&operator=rui&expect=40", "{}",
       "apply rui 40 {}"},
      {"GET", "/v1/config", "", "config"},
      {"GET", "/v1/config/history", "", "history"},
      {"GET", "/v1/status", "", "status"},
      {"GET", "/v1/drains", "", "drains"},
      {"POST", "/v1/drains?apply_id=i&operator=o", kDrain, "drain add d"},
      {"DELETE", "/v1/drains/d?apply_id=i&operator=o", "", "drain remove d"},
      {"GET", "/v1/ledger/unresolved", "", "unresolved"},
      {"GET", "/v1/ledger/claim%2F1%207?service=claims-desk", "",
       "ledger claims-desk claim/1 7"},
      {"POST",
       "/v1/ledger/claim%2F1%207/"
       "resolve?service=claims-desk&as=done&operator=o&reason=paid",
       "", "resolve claim/1 7 paid"},
  };
  for (const auto& one : cases) {
    INFO(one.target);
    const auto got = SendCall(server, one.method, one.target, one.body);
    CHECK(got.status == 200);
    CHECK(got.result == "0 ok");
    CHECK(api.calls().back() == one.call);
  }
  CHECK(SendCall(server, "POST", "/v1/config/check", "{}").result ==
        "1008 schema-violation");
  CHECK(SendCall(server, "POST", "/v1/witness/p?operator=o").result ==
        "5007 unknown-proposal");
  api.RequireWitness();
  const auto proposed =
      SendCall(server, "POST", "/v1/config/apply?apply_id=j&operator=o", "{}");
  CHECK(proposed.status == 202);
  CHECK(proposed.body.find("\"proposal\":\"j\"") != std::string::npos);
}

// A client on the network reaches the operator port without the token. It must
// change nothing and learn nothing, not even which calls exist.
TEST_CASE("without the token nothing is read and nothing executed") {
  fake_operator_api api;
  operator_server server(api);
  const std::string right = std::string("Bearer ") + kTestToken;
  for (const auto& given :
       {std::string(), std::string("Bearer "), right + "x",
        right.substr(0, right.size() - 1), std::string(kTestToken),
        "Basic " + std::string(kTestToken)}) {
    CHECK(SendCall(server, "GET", "/v1/status", "", given).status == 401);
    CHECK(SendCall(server, "GET", "/nowhere", "", given).status == 401);
  }
  CHECK(api.calls().empty());
  CHECK(server.counters().counter("refusals_total",
                                  "reason=\"unauthorized\"") == 12);
  CHECK(SecretEquals("abc", "abc"));
  CHECK_FALSE(SecretEquals("abc", "abcabc"));
  CHECK_FALSE(SecretEquals("", ""));
}

TEST_CASE("a malformed call is refused with its code and has no effect") {
  fake_operator_api api;
  const operator_server server(api);
  struct refused_call {
    std::string method;
    std::string target;
    std::string result;
  };
  const refused_call cases[] = {
      {"GET", "/v1/nowhere", "2005 unknown-path"},
      {"PUT", "/v1/config", "2005 unknown-path"},
      {"GET", "/v1/ledger/a/b?service=s", "2005 unknown-path"},
      {"POST", "/v1/config/apply?operator=o", "2001 malformed-request"},
      {"POST", "/v1/config/apply?apply_id=i", "2001 malformed-request"},
      {"POST", "/v1/config/apply?apply_id=i&operator=a&operator=b",
       "2001 malformed-request"},
      {"POST", "/v1/config/apply?apply_id=i&operator=o&expect=4x",
       "2001 malformed-request"},
      {"POST", "/v1/config/apply?apply_id=i&operator=%0A",
       "2001 malformed-request"},
      {"POST", "/v1/config/apply?apply_id=i&operator=" + std::string(65, 'o'),
       "2001 malformed-request"},
      {"GET", "/v1/ledger/k", "2001 malformed-request"},
      {"GET", "/v1/ledger/%zz?service=s", "2001 malformed-request"},
      {"POST", "/v1/ledger/k/resolve?service=s&as=maybe&operator=o&reason=r",
       "2001 malformed-request"},
      {"POST", "/v1/ledger/k/resolve?service=s&as=done&operator=o",
       "2001 malformed-request"},
      {"POST", "/v1/drains?apply_id=i&operator=o", "1002 file-empty"},
  };
  for (const auto& one : cases) {
    INFO(one.target);
    CHECK(SendCall(server, one.method, one.target).result == one.result);
  }
  CHECK(api.calls().empty());
}

// An operator's connection breaks in the middle of a file, or is very slow. A
// partial file must not be applied, and the thread must become free for the
// next operator.
TEST_CASE("a body that is too long, truncated or too slow is refused") {
  fake_operator_api api;
  operator_limits limits;
  limits.max_body_bytes = 1000;
  limits.body_timeout = 50ms;
  const operator_server server(api, operator_server::response_mode::kAll,
                               limits);
  CHECK(SendCall(server, "POST", "/v1/config/apply?apply_id=i&operator=o",
                 std::string(1001, ' '))
            .result == "2003 body-too-large");

  Poco::Net::StreamSocket cut(server.address());
  const auto half = ApplyHead(100) + "{}";
  cut.sendBytes(half.data(), static_cast<int>(half.size()));
  cut.shutdownSend();
  CHECK(ReadToEnd(cut).find("2001 malformed-request") != std::string::npos);

  Poco::Net::StreamSocket slow(server.address());
  const auto head = ApplyHead(900);
  slow.sendBytes(head.data(), static_cast<int>(head.size()));
  for (int sent = 0;
       sent < 899 && !slow.poll(1000, Poco::Net::Socket::SELECT_READ); ++sent)
    slow.sendBytes(" ", 1);
  CHECK(ReadToEnd(slow).find("2009 request-too-slow") != std::string::npos);
  CHECK(api.calls().empty());
}
