#include "store/http_connection_pool.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <utility>

#include "proxy/dead_peer_timeout.h"

namespace samphire {

namespace {

// Maximum number of idle connections that are kept. Sufficient for the threads
// of one entry that call the platform concurrently; further connections are
// closed, so that a burst leaves no connections open.
constexpr std::size_t kMaxIdleConnections = 16;

// A connection on which the platform acknowledges nothing for this long fails.
// A watch waits for seconds without receiving a byte; if its connection broke
// unnoticed, every change would be delayed until the watch times out.
constexpr milliseconds kUnacknowledgedTimeout{1500};

// An idle connection that the platform has closed becomes readable, since
// nothing else may arrive before a request. Sending a write on it would
// needlessly leave the write's outcome unknown; this appeared as
// kStoreOutcomeUnknown after periods without calls.
bool IsReusable(Poco::Net::HTTPClientSession& session) {
  try {
    return !session.socket().poll(Poco::Timespan(0),
                                  Poco::Net::Socket::SELECT_READ);
  } catch (const Poco::Exception&) {
    return false;
  }
}

}  // namespace

http_connection_pool::http_connection_pool(std::string address,
                                           const http_store_options& options,
                                           const clock_source& clock)
    : address_(std::move(address)), options_(options), clock_(clock) {}

result<http_connection_pool::session_ptr> http_connection_pool::Acquire() {
  if (auto session = AcquireIdle())
    return session;
  return Connect();
}

// Connecting separately from sending guarantees that nothing was sent when
// connecting fails. A session constructed from a connected socket never
// reconnects and resends on its own, which POCO would otherwise do without the
// error classification noticing.
result<http_connection_pool::session_ptr> http_connection_pool::Connect() {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address_),
                   Poco::Timespan(options_.connect_timeout.count() * 1000));
    socket.setNoDelay(true);
    SetDeadPeerTimeout(socket, kUnacknowledgedTimeout);
    auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    session->setKeepAlive(true);
    return session;
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kStoreUnreachable,
                     address_ + ": " + e.displayText());
  }
}

void http_connection_pool::Release(session_ptr session) {
  std::lock_guard guard(lock_);
  if (idle_.size() < kMaxIdleConnections)
    idle_.push_back({std::move(session), clock_.now()});
}

http_connection_pool::session_ptr http_connection_pool::AcquireIdle() {
  std::lock_guard guard(lock_);
  while (!idle_.empty()) {
    // The most recently used connection is the least likely to have been
    // closed.
    auto candidate = std::move(idle_.back());
    idle_.pop_back();
    const bool fresh =
        clock_.now() - candidate.idle_since < options_.max_idle_time;
    if (fresh && IsReusable(*candidate.session))
      return std::move(candidate.session);
  }
  return nullptr;
}

}  // namespace samphire
