#ifndef HISTORY_HISTORY_LIMITS_H_
#define HISTORY_HISTORY_LIMITS_H_

#include "base/clock_source.h"

namespace samphire {

// Time limits for guarantees that are given to users without a number.
struct history_limits {
  // "Within a few seconds": a target that is being drained starts no new run
  // after this time.
  milliseconds leaving_limit{3000};
  // "In force everywhere within seconds": the time from the acceptance of a
  // configuration until every entry uses it.
  milliseconds config_limit{9000};
  // A request that is refused or expires gets its final answer at once: within
  // this time after it was sent, or after its deadline if it waited in a queue.
  milliseconds refusal_limit{250};
};

}  // namespace samphire

#endif  // HISTORY_HISTORY_LIMITS_H_
