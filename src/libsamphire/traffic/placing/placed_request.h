#ifndef TRAFFIC_PLACING_PLACED_REQUEST_H_
#define TRAFFIC_PLACING_PLACED_REQUEST_H_

#include <cstdint>
#include <string>

#include "routing/placement_result.h"

namespace samphire {

// The decision at which target an attempt of a request runs, and the entry that
// made it.
struct placed_request {
  // The chosen target, or why the attempt is refused.
  placement_result decision;
  // Name and peer address of the key's owner if it decided; empty if this entry
  // decided.
  std::string owner;
  std::string owner_address;
  // Id of the lease under which the owner counts the attempt until its end is
  // reported. 0 if this entry decided.
  std::uint64_t lease_id = 0;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_PLACED_REQUEST_H_
