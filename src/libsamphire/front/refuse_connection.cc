#include "front/refuse_connection.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <chrono>
#include <vector>

#include "front/response_writer.h"

namespace samphire {

namespace {

// Bounds the time for which sending a refusal may block.
constexpr Poco::Timespan::TimeDiff kSendTimeoutUs = 100'000;
// Bytes discarded at a time.
constexpr int kDrainBufferBytes = 1 << 16;
// Bounds the time for which input is discarded. A caller that sends for longer
// may not receive its refusal, since reading on would cost more than the
// refusal is worth.
constexpr milliseconds kMaxDrainTime{500};
// Discarding ends when the caller sends nothing for this long.
constexpr Poco::Timespan::TimeDiff kDrainPollTimeoutUs = 50'000;

}  // namespace

void RefuseConnection(Poco::Net::StreamSocket& caller,
                      result_code reason,
                      milliseconds retry_after) {
  try {
    caller.setSendTimeout(Poco::Timespan(kSendTimeoutUs));
    const auto response_bytes = RenderRefusal(
        response_status{.code = reason, .retry_after = retry_after});
    caller.sendBytes(response_bytes.data(),
                     static_cast<int>(response_bytes.size()));
  } catch (const Poco::Exception&) {
    // The caller disconnected before the refusal was sent.
    return;
  }
  DrainAndShutDown(caller);
}

// Closing a socket with unread input makes TCP reset the connection, and the
// caller may then lose the refusal before it has read it.
void DrainAndShutDown(Poco::Net::StreamSocket& caller) {
  try {
    caller.shutdownSend();
    std::vector<char> discarded(kDrainBufferBytes);
    const auto end = std::chrono::steady_clock::now() + kMaxDrainTime;
    while (std::chrono::steady_clock::now() < end) {
      if (!caller.poll(Poco::Timespan(kDrainPollTimeoutUs),
                       Poco::Net::Socket::SELECT_READ) ||
          caller.receiveBytes(discarded.data(), kDrainBufferBytes) <= 0)
        return;
    }
  } catch (const Poco::Exception&) {
    // The caller closed first.
  }
}

}  // namespace samphire
