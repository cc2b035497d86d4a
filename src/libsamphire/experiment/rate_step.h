#ifndef EXPERIMENT_RATE_STEP_H_
#define EXPERIMENT_RATE_STEP_H_

#include "base/clock_source.h"

namespace samphire {

// From `at`, measured from the start of the run, requests arrive at this mean
// rate, until the next step or the end of the run.
struct rate_step {
  milliseconds at{0};
  double per_second = 0;
};

}  // namespace samphire

#endif  // EXPERIMENT_RATE_STEP_H_
