#include "proxy/connection_pool.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include "proxy/silence_limit.h"

namespace samphire {

namespace {

// Targets close idle connections after some seconds; one that is about to be
// closed would cost the request a failed attempt.
constexpr milliseconds kMaxIdle{2000};

// More than this are never busy at once towards one target, since its slots
// bound the work that is sent to it.
constexpr std::size_t kMaxIdlePerAddress = 64;

// Without it, bytes to a machine that lost power or is cut off are sent again
// for many minutes, and whoever waits learns of it only by the deadline.
constexpr milliseconds kSilenceLimit{1000};

// An idle connection must be silent: readable means closed, or an answer that
// nobody asked for and that the next request must not be given.
bool IsSilent(Poco::Net::StreamSocket& socket) {
  try {
    return !socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace

result<connection_pool::pooled_connection> connection_pool::Take(
    const std::string& address,
    milliseconds connect_timeout) {
  while (auto socket = TakeIdle(address)) {
    if (IsSilent(*socket))
      return pooled_connection{*socket, true};
  }
  return Open(address, connect_timeout);
}

result<connection_pool::pooled_connection> connection_pool::Open(
    const std::string& address,
    milliseconds connect_timeout) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(
        Poco::Net::SocketAddress(address),
        Poco::Timespan(
            std::chrono::duration_cast<microseconds>(connect_timeout).count()));
    socket.setNoDelay(true);
    SetSilenceLimit(socket, kSilenceLimit);
    return pooled_connection{socket, false};
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kTargetUnreachable, e.displayText());
  }
}

void connection_pool::Give(const std::string& address,
                           const Poco::Net::StreamSocket& socket) {
  idle_.With(address, [&](idle_map& idle) {
    auto& connections = idle[address];
    connections.push_back({socket, std::chrono::steady_clock::now()});
    if (connections.size() > kMaxIdlePerAddress)
      connections.pop_front();
  });
}

void connection_pool::Forget(const std::string& address) {
  idle_.With(address, [&](idle_map& idle) { idle.erase(address); });
}

// The newest first: it is the least likely to be closed by the other side.
std::optional<Poco::Net::StreamSocket> connection_pool::TakeIdle(
    const std::string& address) {
  const auto now = std::chrono::steady_clock::now();
  return idle_.With(
      address, [&](idle_map& idle) -> std::optional<Poco::Net::StreamSocket> {
        const auto found = idle.find(address);
        if (found == idle.end())
          return std::nullopt;
        auto& connections = found->second;
        while (!connections.empty() &&
               now - connections.front().since > kMaxIdle)
          connections.pop_front();
        if (connections.empty())
          return std::nullopt;
        auto socket = connections.back().socket;
        connections.pop_back();
        return socket;
      });
}

}  // namespace samphire
