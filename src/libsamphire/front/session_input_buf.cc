#include "front/session_input_buf.h"

#include <Poco/Exception.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace samphire {

namespace {

constexpr std::streamsize kBufferBytes = 4096;
// Bounds one wait, since poll() takes an int.
constexpr std::int64_t kMaxPollMs = 60'000;

int BoundedPollTime(milliseconds time) {
  return static_cast<int>(std::min<std::int64_t>(time.count(), kMaxPollMs));
}

}  // namespace

session_input_buf::session_input_buf(front_session& session,
                                     time_point deadline)
    : Poco::BufferedStreamBuf(kBufferBytes, std::ios::in),
      session_(session),
      deadline_(deadline) {}

// One deadline covers the whole body. A caller that sends single bytes with
// pauses could otherwise restart a per-read timeout indefinitely.
result_code session_input_buf::AwaitInput() {
  while (true) {
    const auto time_left = std::chrono::ceil<milliseconds>(
        deadline_ - std::chrono::steady_clock::now());
    if (time_left.count() <= 0)
      return result_code::kRequestTooSlow;
    if (session_.HasBuffered())
      return result_code::kOk;
    std::array<pollfd, 2> entries{{
        {session_.socket().impl()->sockfd(), POLLIN, 0},
        {session_.cutting().descriptor(), POLLIN, 0},
    }};
    if (poll(entries.data(), entries.size(), BoundedPollTime(time_left)) <= 0)
      continue;
    if (entries[0].revents != 0)
      return result_code::kOk;
    if (entries[1].revents != 0)
      return result_code::kEntryLeaving;
  }
}

int session_input_buf::readFromDevice(char* buffer, std::streamsize length) {
  try {
    const auto ready = AwaitInput();
    if (ready == result_code::kOk)
      return session_.ReadRaw(buffer, length);
    failure_ = ready;
  } catch (const Poco::Exception&) {
    // The connection broke, which ends the stream.
  }
  return -1;
}

}  // namespace samphire
