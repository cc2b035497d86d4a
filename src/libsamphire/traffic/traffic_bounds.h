#ifndef TRAFFIC_TRAFFIC_BOUNDS_H_
#define TRAFFIC_TRAFFIC_BOUNDS_H_

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>

#include "base/clock_source.h"
#include "routing/retry_bound.h"

namespace samphire {

// The settings of an entry that may change while it runs. Immutable once shared
// with request threads; a change replaces the whole object.
struct traffic_bounds
    : public boost::intrusive_ref_counter<traffic_bounds,
                                          boost::thread_safe_counter> {
  // Limits retries of each service across all entries.
  retry_bound retries;
  // Number of runs by which a team may exceed its limit in a time window.
  double limit_slack = 0;
  // The number of regions among which team limits are divided.
  std::size_t regions = 1;
  // Time for which callers may cache the result of a look-up.
  milliseconds lookup_ttl{2000};
  // Time from the request to stop until the process is killed.
  milliseconds stop_grace{6000};
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_BOUNDS_H_
