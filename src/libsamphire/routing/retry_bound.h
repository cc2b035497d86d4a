#ifndef ROUTING_RETRY_BOUND_H_
#define ROUTING_RETRY_BOUND_H_

#include "base/clock_source.h"

namespace samphire {

// How many attempts beyond the first of each request a service may get from
// all entries together: in any `window`, `ratio` of its requests and `slack`.
struct retry_bound {
  double ratio = 0.2;
  double slack = 60;
  milliseconds window{10'000};
};

}  // namespace samphire

#endif  // ROUTING_RETRY_BOUND_H_
