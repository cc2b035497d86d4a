#ifndef ROUTING_PLACING_LEASE_H_
#define ROUTING_PLACING_LEASE_H_

#include "base/clock_source.h"
#include "routing/placing.h"
#include "routing/placing_request.h"

namespace samphire {

// An attempt that was placed for another entry.
struct placing_lease {
  placing_request request;
  placed_attempt attempt;
  time_point expires;
};

}  // namespace samphire

#endif  // ROUTING_PLACING_LEASE_H_
