#ifndef FRONT_FRONT_LIMITS_H_
#define FRONT_FRONT_LIMITS_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// What one connection may cost before its request is understood.
struct front_limits {
  std::uint32_t max_connections = 400;
  std::uint32_t max_header_bytes = 16384;
  // From a request's first byte to the end of its head.
  milliseconds header_timeout{5000};
  milliseconds idle_timeout{30'000};
};

}  // namespace samphire

#endif  // FRONT_FRONT_LIMITS_H_
