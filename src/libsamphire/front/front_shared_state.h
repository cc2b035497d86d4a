#ifndef FRONT_FRONT_SHARED_STATE_H_
#define FRONT_FRONT_SHARED_STATE_H_

#include <Poco/Pipe.h>

#include <atomic>
#include <cstdint>

#include "front/accept_times.h"
#include "front/front_limits.h"
#include "front/front_phase.h"

namespace samphire {

// State shared by the connections of one port: limits, phase and the number of
// active requests. The atomic members may be used from any thread; the pipe is
// closed by the thread that sets the phase kRefusing.
struct front_shared_state {
  explicit front_shared_state(const front_limits& limits)
      : max_header_bytes(limits.max_header_bytes),
        header_timeout(limits.header_timeout),
        idle_timeout(limits.idle_timeout) {}

  // Upper bound of a request head.
  const std::uint32_t max_header_bytes;
  // Time limit for receiving a request head, and time after which a connection
  // without a request is closed. Both may change while connections are open.
  std::atomic<milliseconds> header_timeout;
  std::atomic<milliseconds> idle_timeout;
  std::atomic<front_phase> phase = front_phase::kOpen;
  // Number of requests being handled.
  std::atomic<int> active_requests = 0;
  accept_times accepted;
  // Carries no data. Its write end is closed when the port enters kRefusing,
  // which wakes every connection that waits for its next request.
  Poco::Pipe refusing_pipe;
};

}  // namespace samphire

#endif  // FRONT_FRONT_SHARED_STATE_H_
