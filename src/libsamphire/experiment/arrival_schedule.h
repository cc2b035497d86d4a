#ifndef EXPERIMENT_ARRIVAL_SCHEDULE_H_
#define EXPERIMENT_ARRIVAL_SCHEDULE_H_

#include <vector>

#include "experiment/arrival.h"
#include "experiment/scenario.h"

namespace samphire {

// Returns all requests of a run in order of time. The callers are independent
// of each other, so that the arrivals of each stream are a Poisson process. The
// schedule is deterministic: the same scenario (with its seed) gives the same
// arrivals.
std::vector<arrival> PlanArrivals(const scenario& plan);

}  // namespace samphire

#endif  // EXPERIMENT_ARRIVAL_SCHEDULE_H_
