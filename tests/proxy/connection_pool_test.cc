#include "proxy/connection_pool.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds kTestMaxRest{50};

// A target that accepts connections and keeps them.
struct silent_target {
  Poco::Net::ServerSocket server{Poco::Net::SocketAddress("127.0.0.1:0")};
  Poco::Net::StreamSocket accepted;

  std::string address() const { return server.address().toString(); }
  void Accept() { accepted = server.acceptConnection(); }
  // Whether the other side has closed the connection.
  bool IsClosed() {
    if (!accepted.poll(Poco::Timespan(0, 0), Poco::Net::Socket::SELECT_READ))
      return false;
    char byte = 0;
    return accepted.receiveBytes(&byte, 1) == 0;
  }
};

// Opens a connection to the target and leaves it to the pool.
void Use(connection_pool& pool, silent_target& target) {
  const auto connection =
      pool.Acquire(target.address(), 1000ms, connection_use::kNew);
  REQUIRE(connection);
  target.Accept();
  pool.Release(target.address(), connection.value());
}

}  // namespace

// Guards against entries that run out of descriptors while targets are
// replaced: connections to those that are gone stay open although nobody asks
// for them again.
TEST_CASE("connections to targets that nobody asks for again are closed") {
  connection_pool pool(tcp_connection_opener::Default(), kTestMaxRest);
  std::vector<silent_target> targets(30);
  for (auto& target : targets)
    Use(pool, target);
  std::this_thread::sleep_for(2 * kTestMaxRest);
  pool.CloseRested();
  for (auto& target : targets)
    CHECK(target.IsClosed());
}

TEST_CASE("a connection that may still be reused is kept") {
  connection_pool pool(tcp_connection_opener::Default(), 10s);
  silent_target target;
  Use(pool, target);
  pool.CloseRested();
  CHECK_FALSE(target.IsClosed());
  const auto again = pool.Acquire(target.address(), 1000ms);
  REQUIRE(again);
  CHECK(again.value().reused);
}
