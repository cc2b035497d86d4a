#ifndef FRONT_SESSION_INPUT_BUF_H_
#define FRONT_SESSION_INPUT_BUF_H_

#include <Poco/BufferedStreamBuf.h>

#include "base/clock_source.h"
#include "front/front_session.h"

namespace samphire {

// Input stream buffer over the raw bytes of a session, with a deadline for the
// whole input. Connection errors and the deadline both appear as the end of the
// stream. Not thread-safe.
class session_input_buf final : public Poco::BufferedStreamBuf {
 public:
  session_input_buf(front_session& session, time_point deadline);

  void set_deadline(time_point deadline) { deadline_ = deadline; }
  // Whether the stream ended because the deadline passed.
  bool deadline_exceeded() const { return deadline_exceeded_; }

 private:
  int readFromDevice(char* buffer, std::streamsize length) override;

  front_session& session_;
  time_point deadline_;
  bool deadline_exceeded_ = false;
};

}  // namespace samphire

#endif  // FRONT_SESSION_INPUT_BUF_H_
