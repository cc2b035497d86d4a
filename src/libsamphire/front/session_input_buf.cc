#include "front/session_input_buf.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

namespace samphire {

namespace {

constexpr std::streamsize kBufferBytes = 4096;

}  // namespace

session_input_buf::session_input_buf(front_session& session,
                                     time_point deadline)
    : Poco::BufferedStreamBuf(kBufferBytes, std::ios::in),
      session_(session),
      deadline_(deadline) {}

// One deadline covers the whole body. A caller that sends single bytes with
// pauses could otherwise restart a per-read timeout indefinitely.
int session_input_buf::readFromDevice(char* buffer, std::streamsize length) {
  const auto time_left = std::chrono::duration_cast<microseconds>(
      deadline_ - std::chrono::steady_clock::now());
  if (time_left.count() <= 0) {
    deadline_exceeded_ = true;
    return -1;
  }
  try {
    if (!session_.HasBuffered() &&
        !session_.socket().poll(Poco::Timespan(time_left.count()),
                                Poco::Net::Socket::SELECT_READ)) {
      deadline_exceeded_ = true;
      return -1;
    }
    return session_.ReadRaw(buffer, length);
  } catch (const Poco::Exception&) {
    return -1;
  }
}

}  // namespace samphire
