#include "front/connection_limiter.h"

#include <Poco/Net/StreamSocket.h>

#include <algorithm>

#include "base/result.h"
#include "front/refuse_connection.h"

namespace samphire {

namespace {

// Retry time for callers that are refused while the entry is full. Without it,
// all of them would reconnect at once.
constexpr milliseconds kFullRetryAfter{1000};

}  // namespace

connection_limiter::connection_limiter(std::uint32_t limit,
                                       samphire::metrics& counters,
                                       front_shared_state& shared_state)
    : limit_(limit), metrics_(counters), shared_state_(shared_state) {}

// The server drops connections over the length of its own queue without a word.
bool connection_limiter::IsFull() const {
  const auto* server = server_.load();
  if (server == nullptr)
    return false;
  const auto limit = static_cast<int>(limit_);
  return server->currentConnections() >= limit ||
         server->queuedConnections() >= std::min(limit, kMaxQueued);
}

// When all threads are busy, another connection would wait in the queue behind
// long downloads, and be closed without a response once the queue is full. A
// caller can't distinguish that from a crash and retries immediately. A result
// code and a retry time make it use another entry instead. The connection
// counts as waiting before the phase is read here, while the thread that closes
// the port sets the phase before it reads that count. So none is taken to a
// queue that is dropped.
bool connection_limiter::accept(const Poco::Net::StreamSocket& socket) {
  shared_state_.accepted.OnAccepted(socket);
  if (shared_state_.refusing.is_cancelled()) {
    ++shared_state_.refused_while_leaving;
    Refuse(socket, result_code::kEntryLeaving, kLeavingRetryAfter);
    return false;
  }
  if (IsFull()) {
    Refuse(socket, result_code::kTooManyConnections, kFullRetryAfter);
    return false;
  }
  return true;
}

void connection_limiter::Refuse(const Poco::Net::StreamSocket& socket,
                                result_code reason,
                                milliseconds retry_after) {
  metrics_.CountRefusal(reason);
  RefuseConnection(socket, MakeError(reason), retry_after,
                   shared_state_.closer);
  shared_state_.accepted.Take(socket);
}

}  // namespace samphire
