#include "platform_adapter/paced_target.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <array>
#include <utility>

#include "platform_adapter/wire_text.h"

namespace samphire::platform {

namespace {

// Interval at which threads check whether they are to end, in microseconds.
constexpr Poco::Timespan::TimeDiff kStopCheckUs = 20'000;
constexpr int kListenBacklog = 512;

// Moves the next request from `received` and returns its id; nothing while it
// has not arrived whole.
std::optional<std::string> TakeRequest(std::string& received) {
  const auto head_end = received.find("\r\n\r\n");
  if (head_end == std::string::npos)
    return std::nullopt;
  const auto head = received.substr(0, head_end + 2);
  const auto length = HeaderOf(head, "Content-Length");
  const auto end = head_end + 4 + (length.empty() ? 0 : std::stoul(length));
  if (received.size() < end)
    return std::nullopt;
  received.erase(0, end);
  return HeaderOf(head, "Request-Id");
}

}  // namespace

paced_target::paced_target(std::string id,
                           const answer_pace& pace,
                           std::uint64_t seed)
    : id_(std::move(id)),
      pace_(pace),
      listener_(Poco::Net::SocketAddress("127.0.0.1:0"), kListenBacklog),
      address_(listener_.address().toString()),
      random_(seed),
      acceptor_([this](const std::stop_token& stop) { AcceptAll(stop); }) {}

paced_target::~paced_target() {
  acceptor_ = std::jthread();
  connections_.clear();
}

std::multimap<std::string, paced_run> paced_target::runs() const {
  std::lock_guard guard(lock_);
  return runs_;
}

void paced_target::AcceptAll(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!listener_.poll(Poco::Timespan(kStopCheckUs),
                        Poco::Net::Socket::SELECT_READ))
      continue;
    auto socket = listener_.acceptConnection();
    connections_.emplace_back(
        [this, socket](const std::stop_token& end) { Serve(socket, end); });
  }
}

void paced_target::Serve(Poco::Net::StreamSocket socket,
                         const std::stop_token& stop) {
  std::string received;
  std::array<char, 4096> bytes;
  try {
    while (!stop.stop_requested()) {
      if (const auto id = TakeRequest(received)) {
        if (!Answer(socket, *id))
          return;
        continue;
      }
      if (!socket.poll(Poco::Timespan(kStopCheckUs),
                       Poco::Net::Socket::SELECT_READ))
        continue;
      const int got =
          socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
      if (got <= 0)
        return;
      received.append(bytes.data(), static_cast<std::size_t>(got));
    }
  } catch (const Poco::Exception&) {
    // The entry closed the connection.
  }
}

std::chrono::milliseconds paced_target::NextTime() {
  std::lock_guard guard(lock_);
  return std::chrono::milliseconds(
      random_() % static_cast<std::uint64_t>(pace_.max_time.count() + 1));
}

bool paced_target::Answer(Poco::Net::StreamSocket& socket,
                          const std::string& request_id) {
  const auto pause = NextTime() / pace_.pieces;
  decltype(runs_)::iterator run;
  {
    std::lock_guard guard(lock_);
    run = runs_.emplace(request_id,
                        paced_run{std::chrono::steady_clock::now(), {}});
  }
  const std::string body(pace_.bytes, 'x');
  std::string bytes = fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: stamp.{}\r\n"
      "Instance-Id: {}\r\nContent-Length: {}\r\n\r\n",
      request_id, id_, id_, body.size());
  const auto piece = body.size() / static_cast<std::size_t>(pace_.pieces);
  std::size_t sent = 0;
  for (int i = 0; i < pace_.pieces; ++i) {
    std::this_thread::sleep_for(pause);
    const bool is_last = i + 1 == pace_.pieces;
    bytes += body.substr(sent, is_last ? std::string::npos : piece);
    sent += piece;
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    bytes.clear();
  }
  std::lock_guard guard(lock_);
  run->second.end = std::chrono::steady_clock::now();
  return true;
}

}  // namespace samphire::platform
