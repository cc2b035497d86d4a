#include "front/request_head_wait.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <thread>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

namespace {

// Interval between looks at an incomplete head. The bytes stay in the socket,
// which therefore remains readable, so polling it would return immediately and
// the loop would spin.
constexpr milliseconds kPeekInterval{2};

bool ContainsCompleteHead(std::string_view bytes) {
  return bytes.find("\r\n\r\n") != std::string_view::npos ||
         bytes.find("\n\n") != std::string_view::npos;
}

// Checks for METHOD SP TARGET SP HTTP/1.x. Without this check, the parser would
// wait for more bytes until the time limit, and a malformed request would be
// reported as a slow one.
bool HasRequestLine(std::string_view head) {
  const auto line = head.substr(0, head.find('\n'));
  const auto first = line.find(' ');
  const auto last = line.rfind(" HTTP/1.");
  return first != std::string_view::npos && first > 0 &&
         last != std::string_view::npos && last > first + 1;
}

// Waits for the caller and for the port to refuse in one poll(). Checking the
// phase periodically instead would wake each of hundreds of idle connections
// many times a second. A caller whose request is on its way when the port
// starts refusing could not tell whether it ran, if the connection were just
// closed.
result_code AwaitFirstByte(Poco::Net::StreamSocket& socket,
                           const front_shared_state& shared_state) {
  const auto deadline =
      std::chrono::steady_clock::now() + shared_state.idle_timeout.load();
  while (true) {
    const auto time_left = std::chrono::ceil<milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (time_left.count() <= 0)
      return result_code::kCallerGone;
    std::array<pollfd, 2> entries{{
        {socket.impl()->sockfd(), POLLIN, 0},
        {shared_state.refusing.descriptor(), POLLIN, 0},
    }};
    if (poll(entries.data(), entries.size(),
             static_cast<int>(time_left.count())) <= 0)
      continue;
    if (entries[0].revents != 0)
      return result_code::kOk;
    if (entries[1].revents != 0)
      return result_code::kEntryLeaving;
  }
}

}  // namespace

// Each connection occupies a thread. A caller that sends its head one byte at a
// time (a Slowloris attack) could hold the thread indefinitely, since each byte
// restarts the socket's own timeout; some hundred such connections would block
// all other callers. So the time and size limits apply to the head as a whole.
result_code AwaitRequestHead(Poco::Net::StreamSocket& socket,
                             const front_shared_state& shared_state) {
  std::vector<char> buffer(shared_state.max_header_bytes + 1);
  try {
    const auto first = AwaitFirstByte(socket, shared_state);
    if (first != result_code::kOk)
      return first;
    const auto deadline =
        std::chrono::steady_clock::now() + shared_state.header_timeout.load();
    while (true) {
      const int received = socket.receiveBytes(
          buffer.data(), static_cast<int>(buffer.size()), MSG_PEEK);
      if (received <= 0)
        return result_code::kCallerGone;
      const auto count = static_cast<std::size_t>(received);
      if (ContainsCompleteHead({buffer.data(), count})) {
        return HasRequestLine({buffer.data(), count})
                   ? result_code::kOk
                   : result_code::kMalformedRequest;
      }
      if (count > shared_state.max_header_bytes)
        return result_code::kHeaderTooLarge;
      if (shared_state.refusing.is_cancelled())
        return result_code::kEntryLeaving;
      if (std::chrono::steady_clock::now() >= deadline)
        return result_code::kRequestTooSlow;
      std::this_thread::sleep_for(kPeekInterval);
    }
  } catch (const Poco::Exception&) {
    return result_code::kCallerGone;
  }
}

}  // namespace samphire
