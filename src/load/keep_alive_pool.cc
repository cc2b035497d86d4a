#include "keep_alive_pool.h"

#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <utility>

namespace samphire {

namespace {

// Connections idle for longer than this are discarded. The limit is below the
// idle timeout of every server, so that a request is rarely sent on a
// connection that the server is just closing.
constexpr std::chrono::seconds kMaxIdleTime{4};

Poco::Timespan Span(duration time) {
  return Poco::Timespan(std::chrono::duration_cast<microseconds>(time).count());
}

// Connects from a given source address, from which the entry derives the client
// block that the caller belongs to. Poco can't bind a stream socket before
// connecting, but the socket's implementation object can.
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

pooled_connection keep_alive_pool::Acquire(const std::string& source,
                                           const std::string& destination,
                                           duration timeout) {
  const auto key = source + ">" + destination;
  const auto now = std::chrono::steady_clock::now();
  auto idle_connection = shards_.With(
      key, [&](shard_state& state) -> std::optional<pooled_connection> {
        auto& idle = state.idle[key];
        while (!idle.empty()) {
          auto connection = std::move(idle.back());
          idle.pop_back();
          if (now - connection.idle_since < kMaxIdleTime)
            return connection;
        }
        return std::nullopt;
      });
  if (idle_connection)
    return std::move(*idle_connection);
  pooled_connection fresh;
  fresh.session = std::make_unique<Poco::Net::HTTPClientSession>(
      Connect(source, destination, timeout));
  fresh.session->setKeepAlive(true);
  // Disables the session's own keep-alive timeout (1 day), because the session
  // would reconnect by itself from a source address that the system picks. The
  // pool checks the idle time instead.
  fresh.session->setKeepAliveTimeout(Poco::Timespan(1, 0, 0, 0, 0));
  return fresh;
}

void keep_alive_pool::Release(const std::string& source,
                              const std::string& destination,
                              pooled_connection connection) {
  const auto key = source + ">" + destination;
  connection.reused = true;
  connection.idle_since = std::chrono::steady_clock::now();
  shards_.With(key, [&](shard_state& state) {
    state.idle[key].push_back(std::move(connection));
  });
}

}  // namespace samphire
