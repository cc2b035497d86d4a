#include "platform_adapter/raw_store.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <string_view>
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

void raw_store::SetAnswerToWatches(std::string answer) {
  std::lock_guard guard(lock_);
  answer_to_watches_ = std::move(answer);
}

void raw_store::ServeAll(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!listener_.poll(Poco::Timespan(kStopCheckUs),
                        Poco::Net::Socket::SELECT_READ))
      continue;
    auto socket = listener_.acceptConnection();
    try {
      Serve(socket);
    } catch (const Poco::Exception&) {
      // The reader has closed the connection within the answer.
    }
  }
}

void raw_store::Serve(Poco::Net::StreamSocket& socket) {
  std::array<char, 4096> buffer{};
  const int got =
      socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
  if (got <= 0)
    return;
  const std::string_view request(buffer.data(), static_cast<std::size_t>(got));
  const bool is_watch = request.find("watch=") != std::string_view::npos;
  std::lock_guard guard(lock_);
  const auto& answer =
      is_watch && !answer_to_watches_.empty() ? answer_to_watches_ : answer_;
  for (std::size_t at = 0; at < answer.size();)
    at += static_cast<std::size_t>(
        std::max(0, socket.sendBytes(answer.data() + at,
                                     static_cast<int>(answer.size() - at))));
}

}  // namespace samphire::platform
