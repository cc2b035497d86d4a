#ifndef ROUTING_SPLIT_SCENARIO_H_
#define ROUTING_SPLIT_SCENARIO_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock_source.h"
#include "routing/route_part.h"

namespace samphire {

// How the requests of a route are spread over its keys.
enum class key_demand : std::uint8_t { kEqual, kHarmonic, kOneDominant };

// The requests of one split route over a fleet of entries.
struct split_scenario {
  std::size_t entries = 1;
  std::size_t keys = 1;
  key_demand demand = key_demand::kEqual;
  // The parts of the route, from one change of the configuration to the next.
  std::vector<std::vector<route_part>> phases;
  std::size_t requests_per_phase = 2000;
  // Requests per second of the whole fleet.
  double request_rate = 60;
  std::uint64_t seed = 1;
  // Whether each phase has keys of its own.
  bool changes_keys = false;
};

// A phase as the targets see it.
struct split_phase {
  // The share of each part, in each of the successive windows of requests.
  std::vector<std::vector<double>> windows;
  // The share of each key in the requests, and of its requests that part 0 got.
  std::vector<double> demand_by_key;
  std::vector<double> first_share_by_key;
};

// Number of requests over which shares are judged.
inline constexpr std::size_t kSplitWindowRequests = 200;

// Returns the largest deviation of a part's share from its weight.
double DeviationOf(const std::vector<double>& shares,
                   const std::vector<route_part>& parts);
// Returns the mean deviation of the parts' shares from their weights.
double MeanDeviationOf(const std::vector<double>& shares,
                       const std::vector<route_part>& parts);

}  // namespace samphire

#endif  // ROUTING_SPLIT_SCENARIO_H_
