#include "front/lingering_closer.h"

#include <Poco/Exception.h>
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <iterator>
#include <system_error>
#include <utility>

#include "base/log.h"

namespace samphire {

namespace {

// Bounds the time for which input is discarded. A caller that sends for longer
// may not receive its response, since reading on would cost more than that is
// worth.
constexpr milliseconds kMaxLingerTime{500};
// Bounds the connections that linger at a time.
constexpr std::size_t kMaxLingering = 256;
// Time after which connections that were added meanwhile are looked at.
constexpr milliseconds kPollInterval{20};
// Bytes discarded at a time, and rounds of that for one connection.
constexpr std::size_t kDiscardBytes = 16384;
constexpr int kMaxDiscardRounds = 8;

// Discards what has come. Returns whether the caller has closed its side.
bool DiscardInput(const Poco::Net::StreamSocket& socket) {
  std::array<char, kDiscardBytes> discarded;
  for (int i = 0; i < kMaxDiscardRounds; ++i) {
    const auto got = recv(socket.impl()->sockfd(), discarded.data(),
                          discarded.size(), MSG_DONTWAIT);
    if (got == 0)
      return true;
    if (got < 0)
      return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  }
  return false;
}

bool EndSending(Poco::Net::StreamSocket& socket) {
  try {
    socket.shutdownSend();
    return true;
  } catch (const Poco::Exception&) {
    // The caller closed first.
    return false;
  }
}

}  // namespace

lingering_closer::~lingering_closer() {
  thread_.request_stop();
}

// A socket that is closed with unread input resets its connection, and the
// caller may then lose the response before it has read it.
void lingering_closer::Add(const Poco::Net::StreamSocket& socket) {
  lingering_connection added{socket,
                             std::chrono::steady_clock::now() + kMaxLingerTime};
  if (!EndSending(added.socket) || DiscardInput(added.socket))
    return;
  std::lock_guard guard(lock_);
  added_.push_back(std::move(added));
  if (added_.size() > kMaxLingering)
    added_.pop_front();
  if (!is_running_)
    StartThread();
}

void lingering_closer::StartThread() {
  try {
    thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
    is_running_ = true;
  } catch (const std::system_error& e) {
    // Without a thread to spare, connections are closed at once.
    Log(log_level::kWarning, "connections-not-lingering",
        {{"detail", e.what()}});
    added_.clear();
  }
}

std::size_t lingering_closer::open() const {
  std::lock_guard guard(lock_);
  return added_.size() + taken_;
}

std::vector<lingering_closer::lingering_connection> lingering_closer::Take() {
  std::lock_guard guard(lock_);
  std::vector<lingering_connection> taken(
      std::make_move_iterator(added_.begin()),
      std::make_move_iterator(added_.end()));
  added_.clear();
  taken_ = taken.size();
  is_running_ = !taken.empty();
  return taken;
}

void lingering_closer::Return(std::vector<lingering_connection> rest) {
  std::lock_guard guard(lock_);
  added_.insert(added_.begin(), std::make_move_iterator(rest.begin()),
                std::make_move_iterator(rest.end()));
  taken_ = 0;
}

void lingering_closer::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    auto connections = Take();
    if (connections.empty())
      return;
    std::vector<pollfd> entries;
    entries.reserve(connections.size());
    for (const auto& each : connections)
      entries.push_back({each.socket.impl()->sockfd(), POLLIN, 0});
    poll(entries.data(), entries.size(),
         static_cast<int>(kPollInterval.count()));
    const auto now = std::chrono::steady_clock::now();
    std::vector<lingering_connection> rest;
    for (std::size_t i = 0; i < connections.size(); ++i) {
      const bool closed =
          entries[i].revents != 0 && DiscardInput(connections[i].socket);
      if (!closed && now < connections[i].until)
        rest.push_back(std::move(connections[i]));
    }
    connections.clear();
    Return(std::move(rest));
  }
}

}  // namespace samphire
