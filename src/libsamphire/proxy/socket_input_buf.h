#ifndef PROXY_SOCKET_INPUT_BUF_H_
#define PROXY_SOCKET_INPUT_BUF_H_

#include <Poco/BufferedStreamBuf.h>
#include <Poco/Net/StreamSocket.h>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "proxy/caller_watch.h"

namespace samphire {

// Input stream buffer over a socket that is read until a deadline, for as long
// as the caller stays connected and until the entry breaks it off. A read that
// ends early appears as the end of the stream; failure() returns the reason.
// Not thread-safe; `caller` must outlive the buffer.
class socket_input_buf final : public Poco::BufferedStreamBuf {
 public:
  socket_input_buf(const Poco::Net::StreamSocket& socket,
                   time_point deadline,
                   const caller_watch& caller);

  // kDeadlineExceeded, kCallerGone, kCutByStop, kTargetFailed after a
  // connection error, or kOk after an orderly end of the stream.
  result_code failure() const { return failure_; }
  // Whether any byte was received.
  bool has_received() const { return has_received_; }
  void set_deadline(time_point deadline) { deadline_ = deadline; }

 private:
  int readFromDevice(char* buffer, std::streamsize length) override;

  Poco::Net::StreamSocket socket_;
  time_point deadline_;
  const caller_watch& caller_;
  result_code failure_ = result_code::kOk;
  bool has_received_ = false;
};

}  // namespace samphire

#endif  // PROXY_SOCKET_INPUT_BUF_H_
