#include <Poco/Net/ServerSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "load/exchange.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Returns what the load tool makes of the answer to one request.
request_answered AnswerOf(const std::string& bytes) {
  Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1:0"));
  const std::jthread server([&] {
    auto socket = listener.acceptConnection();
    std::array<char, 4096> request{};
    socket.receiveBytes(request.data(), static_cast<int>(request.size()));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  });
  keep_alive_pool pool;
  exchange_request exchange{
      .destination = listener.address().toString(),
      .request = Poco::Net::HTTPRequest("GET", "/x", "HTTP/1.1"),
      .response_timeout = 2s};
  return Exchange(pool, exchange);
}

}  // namespace

// Guards against bytes that are no answer and count as one in a measurement.
TEST_CASE("the load tool takes a status that is none for no answer") {
  const std::string rest = " OK\r\nContent-Length: 2\r\n\r\nno";
  const auto refused = AnswerOf("HTTP/1.1 503" + rest);
  CHECK(refused.status == 503);
  CHECK(refused.body == answer_body::kRefusal);
  for (const auto* status : {"000", "001", "099", "600", "999", "20", "2000"}) {
    INFO(status);
    const auto answer = AnswerOf(std::string("HTTP/1.1 ") + status + rest);
    CHECK(answer.status == 0);
    CHECK(answer.body == answer_body::kLost);
  }
}
