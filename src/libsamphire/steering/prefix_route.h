#ifndef STEERING_PREFIX_ROUTE_H_
#define STEERING_PREFIX_ROUTE_H_

#include <cstdint>

#include "config/ip_address.h"
#include "steering/destination.h"

namespace samphire {

// A block of addresses and where its callers go.
struct prefix_route {
  ip_address address{};
  std::uint8_t prefix_length = 0;
  destination to = kNoDestination;
};

}  // namespace samphire

#endif  // STEERING_PREFIX_ROUTE_H_
