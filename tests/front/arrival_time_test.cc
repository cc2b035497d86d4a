#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "front/front_connection.h"
#include "front/front_request.h"
#include "front/response_writer.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr auto kWait = 200ms;

// Notes how old each request is when its handler begins.
class age_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  explicit age_factory(std::vector<duration>& ages) : ages_(ages) {}

 private:
  class age_handler final : public Poco::Net::HTTPRequestHandler {
   public:
    explicit age_handler(std::vector<duration>& ages) : ages_(ages) {}
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override {
      ages_.push_back(std::chrono::steady_clock::now() -
                      static_cast<front_request&>(request).arrived());
      WriteBody(response, "text/plain", "");
    }

   private:
    std::vector<duration>& ages_;
  };

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new age_handler(ages_);
  }

  std::vector<duration>& ages_;
};

void Get(Poco::Net::StreamSocket& socket) {
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  socket.sendBytes(request.data(), static_cast<int>(request.size()));
}

void AwaitResponse(Poco::Net::StreamSocket& socket) {
  std::array<char, 4096> buffer{};
  CHECK(socket.receiveBytes(buffer.data(), buffer.size()) > 0);
}

// A connection that is accepted, and served by a thread of the test.
struct accepted_connection {
  Poco::Net::ServerSocket listener{Poco::Net::SocketAddress("127.0.0.1:0")};
  Poco::Net::StreamSocket caller{listener.address()};
  Poco::Net::StreamSocket socket{listener.acceptConnection()};
  front_shared_state shared{front_limits{}};
  metrics counters;
  std::vector<duration> ages;

  accepted_connection() { shared.accepted.OnAccepted(socket); }
  std::jthread Serve() {
    return std::jthread([this] {
      front_connection(socket, new Poco::Net::HTTPServerParams,
                       new age_factory(ages), shared, counters)
          .run();
    });
  }
};

}  // namespace

// Guards against a clock that begins when a thread looks at a request: the time
// that its connection waited for the thread is the caller's.
TEST_CASE("the time of a request counts from its connection's acceptance") {
  accepted_connection one;
  Get(one.caller);
  std::this_thread::sleep_for(kWait);
  const auto thread = one.Serve();
  AwaitResponse(one.caller);
  // The rest of a connection between two requests counts for neither.
  std::this_thread::sleep_for(kWait);
  Get(one.caller);
  AwaitResponse(one.caller);
  one.caller.shutdown();
  REQUIRE(one.ages.size() == 2);
  CHECK(one.ages.front() >= kWait);
  CHECK(one.ages.back() < kWait);
}

// Guards against callers that open a connection ahead of their request, whose
// time would be over before they send it.
TEST_CASE("the time before a request is sent is not counted") {
  accepted_connection one;
  const auto thread = one.Serve();
  std::this_thread::sleep_for(kWait);
  Get(one.caller);
  AwaitResponse(one.caller);
  one.caller.shutdown();
  REQUIRE(one.ages.size() == 1);
  CHECK(one.ages.front() < kWait);
}
