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

// The limit is for the body as a whole: a caller that sends a byte now and
// then would renew a limit for each read for ever.
int session_input_buf::readFromDevice(char* buffer, std::streamsize length) {
  const auto left = std::chrono::duration_cast<microseconds>(
      deadline_ - std::chrono::steady_clock::now());
  if (left.count() <= 0) {
    late_ = true;
    return -1;
  }
  try {
    if (!session_.HasBuffered() &&
        !session_.socket().poll(Poco::Timespan(left.count()),
                                Poco::Net::Socket::SELECT_READ)) {
      late_ = true;
      return -1;
    }
    return session_.ReadRaw(buffer, length);
  } catch (const Poco::Exception&) {
    return -1;
  }
}

}  // namespace samphire
