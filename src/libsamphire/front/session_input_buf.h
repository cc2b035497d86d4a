#ifndef FRONT_SESSION_INPUT_BUF_H_
#define FRONT_SESSION_INPUT_BUF_H_

#include <Poco/BufferedStreamBuf.h>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "front/front_session.h"

namespace samphire {

// Input stream buffer over the raw bytes of a session, with a deadline for the
// whole input. Connection errors, the deadline and the end of the entry all
// appear as the end of the stream. Not thread-safe.
class session_input_buf final : public Poco::BufferedStreamBuf {
 public:
  session_input_buf(front_session& session, time_point deadline);

  void set_deadline(time_point deadline) { deadline_ = deadline; }
  // Why the stream ended: kRequestTooSlow after the deadline, kEntryLeaving if
  // the entry broke it off, else kMalformedRequest.
  result_code failure() const { return failure_; }

 private:
  int readFromDevice(char* buffer, std::streamsize length) override;
  // Waits until input can be read. Returns kOk or why there is none.
  result_code AwaitInput();

  front_session& session_;
  time_point deadline_;
  result_code failure_ = result_code::kMalformedRequest;
};

}  // namespace samphire

#endif  // FRONT_SESSION_INPUT_BUF_H_
