#include "proxy/connection_pool.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

namespace samphire {

namespace {

// Time after which an idle connection is no longer reused. Targets close idle
// connections after some seconds, and a request on a connection that is just
// being closed would be a failed attempt.
constexpr milliseconds kMaxIdle{2000};

// Bounds the idle connections kept per address. More are never busy at once
// towards one target, since its slots bound the work that is sent to it.
constexpr std::size_t kMaxIdlePerAddress = 64;

// An idle connection must have no input. Readable means that it was closed, or
// that an unsolicited response arrived, which must not be taken for the
// response to the next request.
bool HasNoPendingInput(Poco::Net::StreamSocket& socket) {
  try {
    return !socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace

result<connection_pool::pooled_connection> connection_pool::Acquire(
    const std::string& address,
    milliseconds connect_timeout) {
  while (auto socket = AcquireIdle(address)) {
    if (HasNoPendingInput(*socket))
      return pooled_connection{*socket, true};
  }
  return Open(address, connect_timeout);
}

result<connection_pool::pooled_connection> connection_pool::Open(
    const std::string& address,
    milliseconds connect_timeout) {
  BOOST_OUTCOME_TRY(socket, opener_.Open(address, connect_timeout));
  return pooled_connection{socket, false};
}

void connection_pool::Release(const std::string& address,
                              const Poco::Net::StreamSocket& socket) {
  idle_.With(address, [&](idle_map& idle) {
    auto& connections = idle[address];
    connections.push_back({socket, std::chrono::steady_clock::now()});
    if (connections.size() > kMaxIdlePerAddress)
      connections.pop_front();
  });
}

void connection_pool::CloseIdle(const std::string& address) {
  idle_.With(address, [&](idle_map& idle) { idle.erase(address); });
}

// Returns the connection that was used last, which is the least likely to have
// been closed by the other side. Drops connections idle for too long.
std::optional<Poco::Net::StreamSocket> connection_pool::AcquireIdle(
    const std::string& address) {
  const auto now = std::chrono::steady_clock::now();
  return idle_.With(
      address, [&](idle_map& idle) -> std::optional<Poco::Net::StreamSocket> {
        const auto found = idle.find(address);
        if (found == idle.end())
          return std::nullopt;
        auto& connections = found->second;
        while (!connections.empty() &&
               now - connections.front().idle_since > kMaxIdle)
          connections.pop_front();
        if (connections.empty())
          return std::nullopt;
        auto socket = connections.back().socket;
        connections.pop_back();
        return socket;
      });
}

}  // namespace samphire
