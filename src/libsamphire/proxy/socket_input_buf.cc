#include "proxy/socket_input_buf.h"

#include <Poco/Exception.h>
#include <poll.h>

#include <algorithm>
#include <array>

namespace samphire {

namespace {

constexpr std::streamsize kBufferBytes = 16384;

}  // namespace

socket_input_buf::socket_input_buf(const Poco::Net::StreamSocket& socket,
                                   time_point deadline,
                                   const caller_watch& caller)
    : Poco::BufferedStreamBuf(kBufferBytes, std::ios::in),
      socket_(socket),
      deadline_(deadline),
      caller_(caller) {}

// Waits for the target, for a disconnect of the caller and for the end of the
// entry in one poll().
// Without the second, work for a caller that has disconnected would run to its
// end; targets would be busy with requests that are never counted as completed.
// Without the deadline, a target that stalls in the middle of a response would
// block the thread indefinitely.
int socket_input_buf::readFromDevice(char* buffer, std::streamsize length) {
  while (true) {
    const auto time_left = std::chrono::ceil<milliseconds>(
        deadline_ - std::chrono::steady_clock::now());
    if (time_left.count() <= 0) {
      failure_ = result_code::kDeadlineExceeded;
      return -1;
    }
    std::array<pollfd, 3> entries{{
        {socket_.impl()->sockfd(), POLLIN, 0},
        {caller_.descriptor(), POLLRDHUP, 0},
        {caller_.cut_descriptor(), POLLIN, 0},
    }};
    const int ready = poll(
        entries.data(), entries.size(),
        static_cast<int>(std::min<std::int64_t>(time_left.count(), 60'000)));
    if (ready <= 0)
      continue;
    if ((entries[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      failure_ = result_code::kCallerGone;
      return -1;
    }
    if (entries[0].revents == 0 && entries[2].revents != 0) {
      failure_ = result_code::kCutByStop;
      return -1;
    }
    if (entries[0].revents == 0)
      continue;
    try {
      const int received =
          socket_.receiveBytes(buffer, static_cast<int>(length));
      has_received_ |= received > 0;
      return received;
    } catch (const Poco::Exception&) {
      failure_ = result_code::kTargetFailed;
      return -1;
    }
  }
}

}  // namespace samphire
