#include "routing/sim_run.h"

#include "routing/sim_fleet.h"

namespace samphire {

sim_report RunSimulation(const sim_scenario& scenario) {
  sim_fleet fleet(scenario);
  fleet.Run();
  return fleet.report();
}

}  // namespace samphire
