#ifndef FRONT_FRONT_CONTROL_H_
#define FRONT_FRONT_CONTROL_H_

#include <Poco/Pipe.h>

#include <atomic>
#include <cstdint>

#include "front/front_limits.h"
#include "front/front_phase.h"

namespace samphire {

// What the connections of one port share.
struct front_control {
  explicit front_control(const front_limits& limits)
      : max_header_bytes(limits.max_header_bytes),
        header_timeout(limits.header_timeout),
        idle_timeout(limits.idle_timeout) {}

  const std::uint32_t max_header_bytes;
  // Callers' limits may change while connections are open.
  std::atomic<milliseconds> header_timeout;
  std::atomic<milliseconds> idle_timeout;
  std::atomic<front_phase> phase = front_phase::kOpen;
  // Requests that are being served.
  std::atomic<int> active = 0;
  // Its writing end is closed when the port turns callers away, which wakes
  // every connection that waits for its next request.
  Poco::Pipe turning_away;
};

}  // namespace samphire

#endif  // FRONT_FRONT_CONTROL_H_
