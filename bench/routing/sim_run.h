#ifndef ROUTING_SIM_RUN_H_
#define ROUTING_SIM_RUN_H_

#include "routing/sim_report.h"
#include "routing/sim_scenario.h"

namespace samphire {

// Runs a scenario in simulated time. Each entry uses the product's own
// placement and bound on retries. The result is deterministic for a scenario.
sim_report RunSimulation(const sim_scenario& scenario);

}  // namespace samphire

#endif  // ROUTING_SIM_RUN_H_
