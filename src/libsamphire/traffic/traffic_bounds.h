#ifndef TRAFFIC_TRAFFIC_BOUNDS_H_
#define TRAFFIC_TRAFFIC_BOUNDS_H_

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>

#include "base/clock_source.h"
#include "routing/retry_bound.h"

namespace samphire {

// The settings of an entry that may change while it runs. Immutable once
// shared.
struct traffic_bounds
    : public boost::intrusive_ref_counter<traffic_bounds,
                                          boost::thread_safe_counter> {
  retry_bound retries;
  // Runs that a team may have beyond its limit in a time window.
  double limit_slack = 0;
  // The number of regions among which team limits are divided.
  std::size_t regions = 1;
  // How long callers may keep a look-up's answer.
  milliseconds lookup_ttl{2000};
  // From the request to stop until the process is killed.
  milliseconds stop_grace{6000};
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_BOUNDS_H_
