#include "platform_adapter/recording_target.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <array>
#include <utility>

namespace samphire::platform {

namespace {

// Interval at which threads check whether they are to end, in microseconds.
constexpr Poco::Timespan::TimeDiff kStopCheckUs = 20'000;

}  // namespace

recording_target::recording_target(std::string id)
    : id_(std::move(id)),
      listener_(Poco::Net::SocketAddress("127.0.0.1:0")),
      address_(listener_.address().toString()),
      acceptor_([this](const std::stop_token& stop) { AcceptAll(stop); }) {}

recording_target::~recording_target() {
  acceptor_ = std::jthread();
}

std::vector<raw_request> recording_target::TakeRuns() {
  std::lock_guard guard(lock_);
  return std::exchange(runs_, {});
}

std::vector<std::string> recording_target::TakeSpoilt() {
  std::lock_guard guard(lock_);
  return std::exchange(spoilt_, {});
}

void recording_target::AcceptAll(const std::stop_token& stop) {
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

void recording_target::Serve(Poco::Net::StreamSocket socket,
                             const std::stop_token& stop) {
  std::string bytes;
  std::array<char, 16'384> buffer{};
  try {
    while (!stop.stop_requested()) {
      if (!socket.poll(Poco::Timespan(kStopCheckUs),
                       Poco::Net::Socket::SELECT_READ))
        continue;
      const int got =
          socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (got <= 0)
        return;
      bytes.append(buffer.data(), static_cast<std::size_t>(got));
      if (!AnswerAll(socket, bytes))
        return;
    }
  } catch (const Poco::Exception&) {
    // The entry has closed the connection.
  }
}

bool recording_target::AnswerAll(Poco::Net::StreamSocket& socket,
                                 std::string& bytes) {
  std::string_view rest = bytes;
  raw_request request;
  raw_reading reading = raw_reading::kIncomplete;
  while (!bytes.empty() &&
         (reading = TakeRequest(rest, request)) == raw_reading::kWhole) {
    bytes.erase(0, bytes.size() - rest.size());
    rest = bytes;
    const auto answer = fmt::format(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: {}\r\n"
        "Instance-Id: {}\r\nContent-Length: 3\r\n\r\n{}",
        request.Value("Request-Id"), stamp(), id_,
        request.method == "HEAD" ? "" : "ran");
    if (request.target != "/health") {
      std::lock_guard guard(lock_);
      runs_.push_back(request);
    }
    socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
  }
  if (reading != raw_reading::kMalformed)
    return true;
  std::lock_guard guard(lock_);
  spoilt_.push_back(bytes);
  return false;
}

}  // namespace samphire::platform
