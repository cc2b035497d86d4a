#ifndef ROUTING_SIM_SCENARIO_H_
#define ROUTING_SIM_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "routing/mechanism_set.h"
#include "routing/sim_fault.h"
#include "routing/sim_route.h"

namespace samphire {

// One simulated run of entries that place the requests of one service. The
// defaults describe a small installation: three regions of two failure domains
// each, of which one region has few targets.
struct sim_scenario {
  std::string name;
  // The number of targets in each failure domain, by region.
  std::vector<std::vector<int>> targets = {{5, 5}, {1, 1}, {4, 4}};
  int entries_per_domain = 2;
  std::uint32_t slots = 6;
  std::uint32_t queue = 18;
  // The number of most recently used objects that a target has in memory.
  std::size_t cached_objects = 55;
  // Work with the object in memory as a fraction of the work without it.
  double warm_work_share = 0.3;
  double work_spread = 0.15;
  duration between_domains = std::chrono::microseconds(900);
  duration between_regions = std::chrono::milliseconds(35);
  std::vector<sim_route> routes;
  // The amplitude of the periodic change in the callers' rate, as a fraction of
  // its mean; regions follow each other by a third of the period.
  double wave_amplitude = 0;
  milliseconds wave_period{36'000};
  std::vector<sim_fault> faults;
  milliseconds length{30'000};
  mechanism_set disabled;
  std::uint64_t seed = 1;
};

// Returns the scenarios that bench_routing runs and the tests check, each named
// after its load or fault.
std::vector<sim_scenario> SimScenarios();

}  // namespace samphire

#endif  // ROUTING_SIM_SCENARIO_H_
