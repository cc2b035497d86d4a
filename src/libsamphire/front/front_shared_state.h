#ifndef FRONT_FRONT_SHARED_STATE_H_
#define FRONT_FRONT_SHARED_STATE_H_

#include <atomic>
#include <cstdint>

#include "base/cancel_signal.h"
#include "front/accept_times.h"
#include "front/front_limits.h"
#include "front/front_phase.h"
#include "front/lingering_closer.h"

namespace samphire {

// State shared by the connections of one port: limits, phase and the number of
// active requests. May be used from any thread.
struct front_shared_state {
  explicit front_shared_state(const front_limits& limits)
      : max_header_bytes(limits.max_header_bytes),
        header_timeout(limits.header_timeout),
        idle_timeout(limits.idle_timeout) {}

  // Upper bound of a request head, in bytes; time limit for receiving one; and
  // time after which a connection without a request is closed. All may change
  // while connections are open.
  std::atomic<std::uint32_t> max_header_bytes;
  std::atomic<milliseconds> header_timeout;
  std::atomic<milliseconds> idle_timeout;
  std::atomic<front_phase> phase = front_phase::kOpen;
  // Number of requests being handled.
  std::atomic<int> active_requests = 0;
  // Number of requests and connections that were refused since the port entered
  // kRefusing.
  std::atomic<int> refused_while_leaving = 0;
  accept_times accepted;
  // Happens when the port enters kRefusing, and wakes every connection that
  // waits for its next request.
  cancel_signal refusing;
  // Happens when the port enters kCutting, and wakes every request that waits
  // for the rest of its body.
  cancel_signal cutting;
  lingering_closer closer;
};

}  // namespace samphire

#endif  // FRONT_FRONT_SHARED_STATE_H_
