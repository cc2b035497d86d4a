#include "routing/lab_run.h"

#include "routing/lab_fleet.h"

namespace samphire {

lab_report RunLab(const lab_scenario& scenario) {
  lab_fleet fleet(scenario);
  fleet.Run();
  return fleet.report();
}

}  // namespace samphire
