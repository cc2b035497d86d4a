#ifndef ROUTING_PLACEMENT_LEASE_H_
#define ROUTING_PLACEMENT_LEASE_H_

#include "base/clock_source.h"
#include "routing/placement_criteria.h"
#include "routing/placement_result.h"

namespace samphire {

// An attempt that was placed for another entry, and the time at which it stops
// counting as load if no end is reported.
struct placement_lease {
  placement_criteria request;
  placed_attempt attempt;
  time_point expires;
};

}  // namespace samphire

#endif  // ROUTING_PLACEMENT_LEASE_H_
