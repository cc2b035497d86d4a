#include "store/http_connection_pool.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

#include <utility>

#include "proxy/silence_limit.h"

namespace samphire {

namespace {

// Enough for the threads of one entry that call the platform at the same time;
// more are closed, so that a burst leaves no connections behind.
constexpr std::size_t kMaxIdle = 16;

// A watch waits for seconds without a byte; a connection that went silent
// meanwhile would hold back every change until the watch runs out.
constexpr milliseconds kSilenceLimit{1500};

// A peer that closed an idle connection shows as readable: nothing else may
// arrive before a request. Writing there would leave a write's outcome
// unknown for no reason, noticed as kStoreOutcomeUnknown after quiet times.
bool Usable(Poco::Net::HTTPClientSession& session) {
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

result<http_connection_pool::session_ptr> http_connection_pool::Take() {
  if (auto session = TakeIdle())
    return session;
  return Connect();
}

// Connecting apart from sending tells for sure that nothing was sent. A
// session that is given its socket never reconnects and sends anew by itself,
// which POCO would otherwise do behind the classification's back.
result<http_connection_pool::session_ptr> http_connection_pool::Connect() {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address_),
                   Poco::Timespan(options_.connect_timeout.count() * 1000));
    socket.setNoDelay(true);
    SetSilenceLimit(socket, kSilenceLimit);
    auto session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    session->setKeepAlive(true);
    return session;
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kStoreUnreachable,
                     address_ + ": " + e.displayText());
  }
}

void http_connection_pool::GiveBack(session_ptr session) {
  std::lock_guard guard(lock_);
  if (idle_.size() < kMaxIdle)
    idle_.push_back({std::move(session), clock_.now()});
}

http_connection_pool::session_ptr http_connection_pool::TakeIdle() {
  std::lock_guard guard(lock_);
  while (!idle_.empty()) {
    // The last one used is the least likely to have been closed.
    auto candidate = std::move(idle_.back());
    idle_.pop_back();
    const bool fresh = clock_.now() - candidate.since < options_.max_idle;
    if (fresh && Usable(*candidate.session))
      return std::move(candidate.session);
  }
  return nullptr;
}

}  // namespace samphire
