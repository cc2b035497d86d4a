#include "front/head_wait.h"

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

// While a head is incomplete its bytes stay in the socket, so that waiting for
// "readable" returns at once; this pause keeps the loop from spinning.
constexpr milliseconds kRecheckPause{2};

bool HoldsWholeHead(std::string_view bytes) {
  return bytes.find("\r\n\r\n") != std::string_view::npos ||
         bytes.find("\n\n") != std::string_view::npos;
}

// METHOD SP TARGET SP HTTP/1.x. A head without it would leave the parser
// waiting for more bytes until the time limit, which is the wrong answer.
bool HasRequestLine(std::string_view head) {
  const auto line = head.substr(0, head.find('\n'));
  const auto first = line.find(' ');
  const auto last = line.rfind(" HTTP/1.");
  return first != std::string_view::npos && first > 0 &&
         last != std::string_view::npos && last > first + 1;
}

// Waits on the caller and on the closing of the port at once: looking for the
// second now and then would wake each of hundreds of idle connections many
// times a second.
bool AwaitFirstByte(Poco::Net::StreamSocket& socket,
                    const front_control& control) {
  const auto deadline =
      std::chrono::steady_clock::now() + control.idle_timeout.load();
  while (true) {
    const auto left = std::chrono::ceil<milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (left.count() <= 0)
      return false;
    std::array<pollfd, 2> entries{{
        {socket.impl()->sockfd(), POLLIN, 0},
        {control.turning_away.readHandle(), POLLIN, 0},
    }};
    if (poll(entries.data(), entries.size(), static_cast<int>(left.count())) <=
        0)
      continue;
    if (entries[0].revents != 0)
      return true;
    if (entries[1].revents != 0)
      return false;
  }
}

}  // namespace

// A thread serves one connection. A caller that sends its head a byte at a
// time would hold the thread for as long as it likes, since each byte renews
// the socket's own timeout; some hundred of those and nobody else is served.
// So the head has one time limit and one size limit as a whole.
result_code AwaitHead(Poco::Net::StreamSocket& socket,
                      const front_control& control) {
  std::vector<char> seen(control.max_header_bytes + 1);
  try {
    if (!AwaitFirstByte(socket, control))
      return result_code::kCallerGone;
    const auto deadline =
        std::chrono::steady_clock::now() + control.header_timeout.load();
    while (true) {
      const int got = socket.receiveBytes(
          seen.data(), static_cast<int>(seen.size()), MSG_PEEK);
      if (got <= 0)
        return result_code::kCallerGone;
      const auto count = static_cast<std::size_t>(got);
      if (HoldsWholeHead({seen.data(), count})) {
        return HasRequestLine({seen.data(), count})
                   ? result_code::kOk
                   : result_code::kMalformedRequest;
      }
      if (count > control.max_header_bytes)
        return result_code::kHeaderTooLarge;
      if (std::chrono::steady_clock::now() >= deadline)
        return result_code::kRequestTooSlow;
      std::this_thread::sleep_for(kRecheckPause);
    }
  } catch (const Poco::Exception&) {
    return result_code::kCallerGone;
  }
}

}  // namespace samphire
