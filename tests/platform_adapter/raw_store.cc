#include "platform_adapter/raw_store.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <utility>

namespace samphire::platform {

namespace {

// Interval at which the thread checks whether it is to end, in microseconds.
constexpr Poco::Timespan::TimeDiff kStopCheckUs = 20'000;

}  // namespace

raw_store::raw_store()
    : listener_(Poco::Net::SocketAddress("127.0.0.1:0")),
      thread_([this](const std::stop_token& stop) { ServeAll(stop); }) {}

void raw_store::SetAnswer(std::string answer) {
  std::lock_guard guard(lock_);
  answer_ = std::move(answer);
}

void raw_store::ServeAll(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!listener_.poll(Poco::Timespan(kStopCheckUs),
                        Poco::Net::Socket::SELECT_READ))
      continue;
    auto socket = listener_.acceptConnection();
    std::array<char, 4096> request{};
    if (socket.receiveBytes(request.data(), request.size()) <= 0)
      continue;
    std::lock_guard guard(lock_);
    for (std::size_t at = 0; at < answer_.size();)
      at += static_cast<std::size_t>(
          std::max(0, socket.sendBytes(answer_.data() + at,
                                       static_cast<int>(answer_.size() - at))));
  }
}

}  // namespace samphire::platform
