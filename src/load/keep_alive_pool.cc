#include "keep_alive_pool.h"

#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <utility>

namespace samphire {

namespace {

// Shorter than the idle time of any server, so that a request seldom meets a
// connection that is just being closed.
constexpr std::chrono::seconds kLongestIdle{4};

Poco::Timespan Span(duration time) {
  return Poco::Timespan(std::chrono::duration_cast<microseconds>(time).count());
}

// The source address tells the entry which block the caller belongs to. Poco
// can't bind a stream socket, but its implementation object can.
Poco::Net::StreamSocket Connect(const std::string& source,
                                const std::string& destination,
                                duration timeout) {
  Poco::Net::StreamSocket socket;
  if (!source.empty())
    socket.impl()->bind(Poco::Net::SocketAddress(source, 0), false);
  socket.connect(Poco::Net::SocketAddress(destination), Span(timeout));
  socket.setNoDelay(true);
  return socket;
}

}  // namespace

caller_connection keep_alive_pool::Take(const std::string& source,
                                        const std::string& destination,
                                        duration timeout) {
  const auto key = source + ">" + destination;
  const auto now = std::chrono::steady_clock::now();
  auto kept = shards_.With(
      key, [&](shard_state& state) -> std::optional<caller_connection> {
        auto& idle = state.idle[key];
        while (!idle.empty()) {
          auto connection = std::move(idle.back());
          idle.pop_back();
          if (now - connection.idle_since < kLongestIdle)
            return connection;
        }
        return std::nullopt;
      });
  if (kept)
    return std::move(*kept);
  caller_connection fresh;
  fresh.session = std::make_unique<Poco::Net::HTTPClientSession>(
      Connect(source, destination, timeout));
  fresh.session->setKeepAlive(true);
  // Idle time is judged here: the session would connect anew by itself, from
  // whatever source the machine picks.
  fresh.session->setKeepAliveTimeout(Poco::Timespan(1, 0, 0, 0, 0));
  return fresh;
}

void keep_alive_pool::GiveBack(const std::string& source,
                               const std::string& destination,
                               caller_connection connection) {
  const auto key = source + ">" + destination;
  connection.reused = true;
  connection.idle_since = std::chrono::steady_clock::now();
  shards_.With(key, [&](shard_state& state) {
    state.idle[key].push_back(std::move(connection));
  });
}

}  // namespace samphire
