#ifndef TRAFFIC_PLACED_REQUEST_H_
#define TRAFFIC_PLACED_REQUEST_H_

#include <cstdint>
#include <string>

#include "routing/placement_result.h"

namespace samphire {

// Where an attempt goes, and who decided it.
struct placed_request {
  placement_result place;
  // The entry that decided, by name and peer address; empty if it was this.
  std::string owner;
  std::string owner_address;
  // Of the lease that the owner gave for it.
  std::uint64_t lease = 0;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACED_REQUEST_H_
