#ifndef ROUTING_LAB_SCENARIO_H_
#define ROUTING_LAB_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "routing/lab_route.h"
#include "routing/lab_trouble.h"
#include "routing/mechanism_set.h"

namespace samphire {

// One simulated run of entries that place the requests of one service. The
// defaults are a small installation: three regions of two failure domains, of
// which one region has few targets.
struct lab_scenario {
  std::string name;
  // Targets in each failure domain, by region.
  std::vector<std::vector<int>> targets = {{5, 5}, {1, 1}, {4, 4}};
  int entries_per_domain = 2;
  std::uint32_t slots = 6;
  std::uint32_t queue = 18;
  // Objects that a target keeps in memory, those used last.
  std::size_t memory = 55;
  // With the object in memory, of the work without.
  double warm_share = 0.3;
  double work_spread = 0.15;
  duration between_domains = std::chrono::microseconds(900);
  duration between_regions = std::chrono::milliseconds(35);
  std::vector<lab_route> routes;
  // Callers' rate goes up and down by this share of its mean; regions follow
  // each other by a third of the period.
  double wave_swing = 0;
  milliseconds wave_period{36'000};
  std::vector<lab_trouble> troubles;
  milliseconds length{30'000};
  mechanism_set without;
  std::uint64_t seed = 1;
};

// The scenarios that the program runs and the tests bound, each named after its
// load or trouble.
std::vector<lab_scenario> LabScenarios();

}  // namespace samphire

#endif  // ROUTING_LAB_SCENARIO_H_
