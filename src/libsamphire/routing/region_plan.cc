#include "routing/region_plan.h"

#include <algorithm>
#include <numeric>

namespace samphire {

namespace {

double Sum(const std::map<std::string, double>& room) {
  return std::accumulate(
      room.begin(), room.end(), 0.0,
      [](double sum, const auto& each) { return sum + each.second; });
}

// Callers of each place ask alike, together for `used_room` of the room. They
// use their own place as far as its room goes, and what others leave of theirs
// in proportion to it.
std::map<std::string, double> PlanRoom(
    const std::map<std::string, double>& room,
    const std::string& from,
    double used_room) {
  if (used_room <= 0)
    return {};
  // A place whose targets are all gone still has callers.
  const auto askers = room.size() + (room.contains(from) ? 0 : 1);
  const double demand = used_room / static_cast<double>(askers);
  const double own = room.contains(from) ? room.at(from) : 0;
  const double over = std::max(0.0, demand - own);
  double spare = 0;
  for (const auto& [place, slots] : room)
    spare += std::max(0.0, slots - demand);
  std::map<std::string, double> factors;
  for (const auto& [place, slots] : room) {
    if (slots <= 0)
      continue;
    const double used = place == from ? std::min(demand, slots)
                        : spare > 0
                            ? over * std::max(0.0, slots - demand) / spare
                            : 0;
    factors[place] = used / slots;
  }
  return factors;
}

}  // namespace

// Made for regions whose targets are few beside their callers. Sent to their
// own region alone, those callers wait while targets elsewhere idle; spread
// over all alike, every second request and answer crosses regions, which is
// slow and dear. The plan depends on the targets alone, so entries that know
// the same targets agree on it without talking.
std::map<std::string, double> PlanRegions(const region_room& room,
                                          const std::string& from) {
  return PlanRoom(room, from, Sum(room));
}

// Made for uploads and exports, of which a few carry most of the bytes. By the
// plan of regions, half of them go to a target in another failure domain, and
// the operator pays for the way. Kept in their domain, a key is learned in each
// domain of the region: one late answer more for a key and domain.
std::map<std::string, double> PlanDomains(const domain_room& room,
                                          const std::string& from,
                                          double region_factor) {
  return PlanRoom(room, from, Sum(room) * region_factor);
}

}  // namespace samphire
