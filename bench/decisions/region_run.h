#ifndef DECISIONS_REGION_RUN_H_
#define DECISIONS_REGION_RUN_H_

#include "decisions/run_report.h"
#include "decisions/scenario.h"

namespace samphire {

// Runs the scenario and says what came of it.
run_report RunRegion(const scenario& input);

}  // namespace samphire

#endif  // DECISIONS_REGION_RUN_H_
