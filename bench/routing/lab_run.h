#ifndef ROUTING_LAB_RUN_H_
#define ROUTING_LAB_RUN_H_

#include "routing/lab_report.h"
#include "routing/lab_scenario.h"

namespace samphire {

// Plays a scenario in simulated time, with the product's own placing and bound
// on repeats in each entry. The same scenario gives the same report.
lab_report RunLab(const lab_scenario& scenario);

}  // namespace samphire

#endif  // ROUTING_LAB_RUN_H_
