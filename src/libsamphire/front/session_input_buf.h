#ifndef FRONT_SESSION_INPUT_BUF_H_
#define FRONT_SESSION_INPUT_BUF_H_

#include <Poco/BufferedStreamBuf.h>

#include "base/clock_source.h"
#include "front/front_session.h"

namespace samphire {

// Reads the raw bytes of a session until a deadline.
class session_input_buf final : public Poco::BufferedStreamBuf {
 public:
  session_input_buf(front_session& session, time_point deadline);

  void set_deadline(time_point deadline) { deadline_ = deadline; }
  bool late() const { return late_; }

 private:
  int readFromDevice(char* buffer, std::streamsize length) override;

  front_session& session_;
  time_point deadline_;
  bool late_ = false;
};

}  // namespace samphire

#endif  // FRONT_SESSION_INPUT_BUF_H_
