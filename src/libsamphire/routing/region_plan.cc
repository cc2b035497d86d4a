#include "routing/region_plan.h"

#include <algorithm>
#include <numeric>

namespace samphire {

// Made for regions whose targets are few beside their callers. Sent to their
// own region alone, those callers wait while targets elsewhere idle; spread
// over all alike, every second request and answer crosses regions, which is
// slow and dear. The plan depends on the targets alone, so entries that know
// the same targets agree on it without talking.
std::map<std::string, double> PlanRegions(const region_room& room,
                                          const std::string& from) {
  const double total = std::accumulate(
      room.begin(), room.end(), 0.0,
      [](double sum, const auto& each) { return sum + each.second; });
  std::map<std::string, double> factors;
  if (total <= 0)
    return factors;
  // A region whose targets are all gone still has callers.
  const bool listed = room.contains(from);
  const double demand =
      total / static_cast<double>(room.size() + (listed ? 0 : 1));
  const double own = listed ? room.at(from) : 0;
  const double over = std::max(0.0, demand - own);
  double spare = 0;
  for (const auto& [region, slots] : room)
    spare += std::max(0.0, slots - demand);
  for (const auto& [region, slots] : room) {
    if (slots <= 0)
      continue;
    const double used = region == from ? std::min(demand, slots)
                        : spare > 0
                            ? over * std::max(0.0, slots - demand) / spare
                            : 0;
    factors[region] = used / slots;
  }
  return factors;
}

}  // namespace samphire
