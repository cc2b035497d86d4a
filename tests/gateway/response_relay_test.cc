#include "gateway/response_relay.h"

#include <Poco/Net/ServerSocket.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Serves the first request of each connection and closes the connection with
// the second one on it.
class closing_target {
 public:
  closing_target()
      : socket_(Poco::Net::SocketAddress("127.0.0.1:0")),
        thread_([this](const std::stop_token& stop) {
          while (!stop.stop_requested()) {
            if (socket_.poll(Poco::Timespan(0, 10'000),
                             Poco::Net::Socket::SELECT_READ))
              Serve(socket_.acceptConnection());
          }
        }) {}

  std::string address() const { return socket_.address().toString(); }
  int arrivals() const { return arrivals_; }

 private:
  void Serve(Poco::Net::StreamSocket connection) {
    if (!Receive(connection))
      return;
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    connection.sendBytes(response.data(), static_cast<int>(response.size()));
    Receive(connection);
  }
  bool Receive(Poco::Net::StreamSocket& connection) {
    std::array<char, 1024> buffer{};
    const bool received =
        connection.receiveBytes(buffer.data(), buffer.size()) > 0;
    arrivals_ += received ? 1 : 0;
    return received;
  }

  Poco::Net::ServerSocket socket_;
  std::atomic<int> arrivals_ = 0;
  std::jthread thread_;
};

class unused_sink final : public response_sink {
 public:
  void Begin(const Poco::Net::HTTPResponse& /*head*/,
             const body_framing& /*framing*/,
             const response_status& /*status*/) override {}
  bool Write(std::string_view /*bytes*/) override { return true; }
  void End() override {}
  void Abort() override {}
  void Refuse(const response_status& /*status*/) override {}
  bool begun() const override { return false; }
};

}  // namespace

// Guards against a request that reaches its target twice, once uncounted, when
// a kept connection ends instead of a response.
TEST_CASE("a relay sends a request once, also on a kept connection") {
  closing_target target;
  connection_pool pool;
  const caller_watch no_caller;
  unused_sink sink;
  response_relay relay(pool, no_caller, sink, response_status{});
  outgoing_request request;
  request.address = target.address();
  request.head.setMethod("GET");
  request.head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  request.head.setKeepAlive(true);
  request.deadline = std::chrono::steady_clock::now() + 5s;
  CHECK(relay.Run(request).outcome == attempt_outcome::kOk);
  const auto lost = relay.Run(request);
  CHECK(lost.outcome == attempt_outcome::kLost);
  CHECK(target.arrivals() == 2);
}
