#ifndef HISTORY_HISTORY_LIMITS_H_
#define HISTORY_HISTORY_LIMITS_H_

#include "base/clock_source.h"

namespace samphire {

// The times that the users' promises name without a number.
struct history_limits {
  // "Within a few seconds": after this a leaving target starts no new run.
  milliseconds leaving{3000};
  // "In force everywhere within seconds".
  milliseconds in_force{9000};
  // A request that is given up on gets its final answer at once: this long
  // after it was sent, or after its deadline for one that waited.
  milliseconds at_once{250};
};

}  // namespace samphire

#endif  // HISTORY_HISTORY_LIMITS_H_
