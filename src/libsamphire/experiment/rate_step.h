#ifndef EXPERIMENT_RATE_STEP_H_
#define EXPERIMENT_RATE_STEP_H_

#include "base/clock_source.h"

namespace samphire {

// From `at`, counted from the start of the run, requests come at this rate.
struct rate_step {
  milliseconds at{0};
  double per_second = 0;
};

}  // namespace samphire

#endif  // EXPERIMENT_RATE_STEP_H_
