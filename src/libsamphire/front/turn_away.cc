#include "front/turn_away.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <chrono>
#include <vector>

#include "front/answer_writer.h"

namespace samphire {

namespace {

constexpr Poco::Timespan::TimeDiff kSendTimeoutUs = 100'000;
constexpr int kDrainBytes = 1 << 16;
// A caller that sends for longer than this loses its refusal: by then it costs
// more than it is worth.
constexpr milliseconds kDrainTime{500};
constexpr Poco::Timespan::TimeDiff kDrainWaitUs = 50'000;

}  // namespace

void TurnAway(Poco::Net::StreamSocket& caller,
              result_code reason,
              milliseconds retry_after) {
  try {
    caller.setSendTimeout(Poco::Timespan(kSendTimeoutUs));
    const auto answer =
        RenderRefusal(answer_note{.code = reason, .retry_after = retry_after});
    caller.sendBytes(answer.data(), static_cast<int>(answer.size()));
  } catch (const Poco::Exception&) {
    // The caller left before it could be told.
    return;
  }
  DrainAndShutDown(caller);
}

// Closing with unread bytes resets the connection, which can take the refusal
// away before it is read.
void DrainAndShutDown(Poco::Net::StreamSocket& caller) {
  try {
    caller.shutdownSend();
    std::vector<char> dropped(kDrainBytes);
    const auto end = std::chrono::steady_clock::now() + kDrainTime;
    while (std::chrono::steady_clock::now() < end) {
      if (!caller.poll(Poco::Timespan(kDrainWaitUs),
                       Poco::Net::Socket::SELECT_READ) ||
          caller.receiveBytes(dropped.data(), kDrainBytes) <= 0)
        return;
    }
  } catch (const Poco::Exception&) {
    // The caller closed first.
  }
}

}  // namespace samphire
