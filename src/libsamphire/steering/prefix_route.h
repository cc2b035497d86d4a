#ifndef STEERING_PREFIX_ROUTE_H_
#define STEERING_PREFIX_ROUTE_H_

#include <cstdint>

#include "config/ip_address.h"
#include "steering/destination.h"

namespace samphire {

// An address block in prefix notation and the destination of its callers.
struct prefix_route {
  // Bits behind the prefix are ignored.
  ip_address address{};
  // Counted in the 128-bit form, 0 to 128: an IPv4 /24 is 120.
  std::uint8_t prefix_length = 0;
  destination to = kNoDestination;
};

}  // namespace samphire

#endif  // STEERING_PREFIX_ROUTE_H_
