#ifndef DECISIONS_REGION_RUN_H_
#define DECISIONS_REGION_RUN_H_

#include "decisions/run_report.h"
#include "decisions/scenario.h"

namespace samphire {

// Simulates the scenario in simulated time and returns its results, which are
// the same for the same scenario. Runs on the calling thread.
run_report RunRegion(const scenario& input);

}  // namespace samphire

#endif  // DECISIONS_REGION_RUN_H_
