#include "front/connection_limiter.h"

#include <Poco/Net/StreamSocket.h>

#include "front/refuse_connection.h"

namespace samphire {

namespace {

// Retry time for callers that are refused while the entry is full. Without it,
// all of them would reconnect at once.
constexpr milliseconds kRetryAfter{1000};

}  // namespace

connection_limiter::connection_limiter(std::uint32_t limit,
                                       samphire::metrics& counters,
                                       accept_times& accepted)
    : limit_(limit), metrics_(counters), accepted_(accepted) {}

// When all threads are busy, another connection would wait in the queue behind
// long downloads, and be closed without a response once the queue is full. A
// caller can't distinguish that from a crash and retries immediately. A result
// code and a retry time make it use another entry instead.
bool connection_limiter::accept(const Poco::Net::StreamSocket& socket) {
  accepted_.OnAccepted(socket);
  const auto* server = server_.load();
  if (server == nullptr ||
      server->currentConnections() < static_cast<int>(limit_))
    return true;
  metrics_.CountRefusal(result_code::kTooManyConnections);
  auto caller = socket;
  RefuseConnection(caller, result_code::kTooManyConnections, kRetryAfter);
  return false;
}

}  // namespace samphire
