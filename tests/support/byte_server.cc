#include "support/byte_server.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <array>
#include <cstddef>
#include <utility>

namespace samphire {

namespace {

// Interval at which threads check whether they are to end, in microseconds.
constexpr Poco::Timespan::TimeDiff kStopCheckUs = 20'000;
constexpr std::size_t kReadBytes = 16'384;

}  // namespace

byte_server::byte_server(input_handler on_input)
    : on_input_(std::move(on_input)),
      listener_(Poco::Net::SocketAddress("127.0.0.1:0")),
      address_(listener_.address().toString()),
      acceptor_([this](const std::stop_token& stop) { AcceptAll(stop); }) {}

// The acceptor adds to the connections, so that it ends before them.
byte_server::~byte_server() {
  acceptor_ = std::jthread();
}

void byte_server::AcceptAll(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!listener_.poll(Poco::Timespan(kStopCheckUs),
                        Poco::Net::Socket::SELECT_READ))
      continue;
    auto socket = listener_.acceptConnection();
    socket.setNoDelay(true);
    connections_.emplace_back(
        [this, socket](const std::stop_token& end) { Serve(socket, end); });
  }
}

void byte_server::Serve(Poco::Net::StreamSocket socket,
                        const std::stop_token& stop) {
  std::string input;
  std::array<char, kReadBytes> buffer{};
  try {
    while (!stop.stop_requested()) {
      if (!socket.poll(Poco::Timespan(kStopCheckUs),
                       Poco::Net::Socket::SELECT_READ))
        continue;
      const int got =
          socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (got <= 0)
        return;
      input.append(buffer.data(), static_cast<std::size_t>(got));
      if (!on_input_(socket, input))
        return;
    }
  } catch (const Poco::Exception&) {
    // The peer has closed the connection.
  }
}

}  // namespace samphire
