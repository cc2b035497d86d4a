#include "front/connection_limit.h"

#include <Poco/Net/StreamSocket.h>

#include "front/turn_away.h"

namespace samphire {

namespace {

// A crowd that finds the entry full should not come back as one.
constexpr milliseconds kRetryAfter{1000};

}  // namespace

connection_limit::connection_limit(std::uint32_t limit,
                                   samphire::metrics& counters)
    : limit_(limit), metrics_(counters) {}

// With every thread taken, a further connection would wait unheard behind long
// downloads, and past the queue's bound be closed without a word; a caller
// can't tell that from a crash and asks again at once. Told a number and a
// time, it goes to another entry.
bool connection_limit::accept(const Poco::Net::StreamSocket& socket) {
  const auto* server = server_.load();
  if (server == nullptr ||
      server->currentConnections() < static_cast<int>(limit_))
    return true;
  metrics_.CountRefusal(result_code::kTooManyConnections);
  auto caller = socket;
  TurnAway(caller, result_code::kTooManyConnections, kRetryAfter);
  return false;
}

}  // namespace samphire
