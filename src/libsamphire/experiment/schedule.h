#ifndef EXPERIMENT_SCHEDULE_H_
#define EXPERIMENT_SCHEDULE_H_

#include <vector>

#include "experiment/arrival.h"
#include "experiment/scenario.h"

namespace samphire {

// All requests of a run in the order of their times: independent callers, so
// a Poisson process for each stream. The same scenario gives the same ones.
std::vector<arrival> PlanArrivals(const scenario& plan);

}  // namespace samphire

#endif  // EXPERIMENT_SCHEDULE_H_
