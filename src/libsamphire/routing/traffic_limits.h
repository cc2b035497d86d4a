#ifndef ROUTING_TRAFFIC_LIMITS_H_
#define ROUTING_TRAFFIC_LIMITS_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Limits on the size and the duration of what a caller sends.
struct traffic_limits {
  std::uint32_t max_header_bytes = 16'384;
  std::uint64_t max_body_bytes = 1 << 20;
  // For the header, and for the part of the body that is buffered before the
  // first attempt.
  milliseconds header_timeout{3000};
  // The time for which callers may leave a connection idle and use it again.
  milliseconds idle_timeout{15'000};
};

}  // namespace samphire

#endif  // ROUTING_TRAFFIC_LIMITS_H_
