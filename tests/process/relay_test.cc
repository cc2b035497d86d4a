#include "support/relay.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include "support/wait_until.h"

using namespace samphire;
using Poco::Net::SocketAddress;

namespace {

constexpr auto kRead = Poco::Net::Socket::SELECT_READ;
// Limit for data to arrive, and time in which blocked data must not arrive.
const Poco::Timespan kLong(10, 0);
const Poco::Timespan kShort(0, 50'000);

// Returns the data of the next read, or "nothing" after the limit.
std::string Receive(Poco::Net::StreamSocket& socket) {
  char buffer[16];
  if (!socket.poll(kLong, kRead))
    return "nothing";
  return {buffer, static_cast<std::size_t>(socket.receiveBytes(buffer, 16))};
}

}  // namespace

TEST_CASE("the relay passes a stream both ways and cuts one way alone") {
  Poco::Net::ServerSocket server(SocketAddress("127.61.9.2", 0));
  relay link("127.61.9.3", server.address().toString());
  Poco::Net::StreamSocket near{SocketAddress(link.address())};
  near.sendBytes("ask", 3);
  auto far = server.acceptConnection();
  CHECK(Receive(far) == "ask");
  link.SetBlocked(relay::direction::kReturn, true);
  far.sendBytes("lost?", 5);
  near.sendBytes("more", 4);
  CHECK(Receive(far) == "more");
  CHECK_FALSE(near.poll(kShort, kRead));
  link.SetBlocked(relay::direction::kReturn, false);
  CHECK(Receive(near) == "lost?");
}

TEST_CASE("the relay loses datagrams while cut and delays them when told to") {
  Poco::Net::DatagramSocket server(SocketAddress("127.61.9.2", 0));
  relay link("127.61.9.3", server.address().toString());
  Poco::Net::DatagramSocket near(SocketAddress("127.61.9.4", 0));
  const SocketAddress there(link.address());
  char buffer[16];
  link.SetBlocked(relay::direction::kForward, true);
  near.sendTo("a", 1, there);
  REQUIRE(WaitUntil([&] { return link.dropped_datagrams() == 1; }));
  link.SetBlocked(relay::direction::kForward, false);
  link.SetDelay(relay::direction::kForward, std::chrono::milliseconds(30));
  const auto sent = std::chrono::steady_clock::now();
  near.sendTo("b", 1, there);
  REQUIRE(server.poll(kLong, kRead));
  CHECK(std::chrono::steady_clock::now() - sent >=
        std::chrono::milliseconds(30));
  SocketAddress sender;
  CHECK(server.receiveFrom(buffer, 16, sender) == 1);
  CHECK(buffer[0] == 'b');
  server.sendTo("c", 1, sender);
  REQUIRE(near.poll(kLong, kRead));
}
