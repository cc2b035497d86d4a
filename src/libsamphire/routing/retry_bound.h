#ifndef ROUTING_RETRY_BOUND_H_
#define ROUTING_RETRY_BOUND_H_

#include "base/clock_source.h"

namespace samphire {

// The bound on retries for one service over all entries together. In any
// interval of length `window`, the number of attempts beyond each request's
// first is at most `ratio` times the number of requests plus `slack`.
struct retry_bound {
  double ratio = 0.2;
  double slack = 60;
  milliseconds window{10'000};
};

}  // namespace samphire

#endif  // ROUTING_RETRY_BOUND_H_
