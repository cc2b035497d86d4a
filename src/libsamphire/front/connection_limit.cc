#include "front/connection_limit.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include "front/answer_writer.h"

namespace samphire {

namespace {

// A crowd that finds the entry full should not come back as one.
constexpr milliseconds kRetryAfter{1000};
constexpr Poco::Timespan::TimeDiff kSendTimeoutUs = 100'000;

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
  try {
    Poco::Net::StreamSocket caller(socket);
    caller.setSendTimeout(Poco::Timespan(kSendTimeoutUs));
    const auto answer = RenderRefusal(answer_note{
        .code = result_code::kTooManyConnections, .retry_after = kRetryAfter});
    caller.sendBytes(answer.data(), static_cast<int>(answer.size()));
    caller.shutdownSend();
  } catch (const Poco::Exception&) {
    // The caller left before it could be told.
  }
  return false;
}

}  // namespace samphire
