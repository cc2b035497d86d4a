#include "routing/region_plan.h"

#include <algorithm>
#include <numeric>

namespace samphire {

namespace {

double Sum(const std::map<std::string, double>& capacity) {
  return std::accumulate(
      capacity.begin(), capacity.end(), 0.0,
      [](double sum, const auto& each) { return sum + each.second; });
}

// Assumes equal demand from the callers of each place, which is a region or a
// failure domain, and `used_capacity` in total. Callers use their own place up
// to its capacity; the excess goes to the free capacity of the other places, in
// proportion to it.
std::map<std::string, double> PlanCapacity(
    const std::map<std::string, double>& capacity,
    const std::string& from,
    double used_capacity) {
  if (used_capacity <= 0)
    return {};
  // A place that has lost all its targets still has callers.
  const auto demanding = capacity.size() + (capacity.contains(from) ? 0 : 1);
  const double demand = used_capacity / static_cast<double>(demanding);
  const double own = capacity.contains(from) ? capacity.at(from) : 0;
  const double excess = std::max(0.0, demand - own);
  double spare = 0;
  for (const auto& [place, slots] : capacity)
    spare += std::max(0.0, slots - demand);
  std::map<std::string, double> factors;
  for (const auto& [place, slots] : capacity) {
    if (slots <= 0)
      continue;
    const double used = place == from ? std::min(demand, slots)
                        : spare > 0
                            ? excess * std::max(0.0, slots - demand) / spare
                            : 0;
    factors[place] = used / slots;
  }
  return factors;
}

}  // namespace

// Handles regions with few targets compared with their callers. If such callers
// used their own region only, they would wait while targets elsewhere were
// idle. If they were spread over all regions alike, every second request and
// response would cross regions, which is slow and expensive. The plan depends
// on the targets alone, so entries that know the same targets compute the same
// plan without exchanging messages.
std::map<std::string, double> PlanRegions(const region_capacity& capacity,
                                          const std::string& from) {
  return PlanCapacity(capacity, from, Sum(capacity));
}

// Handles uploads and exports, of which a few account for most of the bytes. By
// the plan of regions alone, half of them would go to a target in another
// failure domain, and the operator pays for that traffic. When they stay in
// their domain, each domain of the region loads the key separately, at the cost
// of one more late response per key and domain.
std::map<std::string, double> PlanDomains(const domain_capacity& capacity,
                                          const std::string& from,
                                          double region_factor) {
  return PlanCapacity(capacity, from, Sum(capacity) * region_factor);
}

}  // namespace samphire
