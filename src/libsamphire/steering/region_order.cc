#include "steering/region_order.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

using latency_table =
    std::map<std::pair<std::string, std::string>, microseconds>;

// Latencies are declared once for each pair and hold in both directions.
latency_table LatenciesOf(const declaration& declared) {
  latency_table table;
  for (const auto& each : declared.latencies) {
    table[{each.from, each.to}] = each.one_way;
    table[{each.to, each.from}] = each.one_way;
  }
  return table;
}

// A pair without a declared latency counts as the farthest, so that a missing
// line in the declaration does not send callers to a distant region. The home
// region itself comes before any other.
microseconds LatencyOf(const latency_table& table,
                       const std::string& from,
                       const std::string& to) {
  if (from == to)
    return microseconds(-1);
  const auto found = table.find({from, to});
  return found == table.end() ? microseconds::max() : found->second;
}

}  // namespace

// Regions with equal latency keep the order of the declaration, so that every
// entry gives the same response.
region_order::region_order(const declaration& declared) {
  const auto latencies = LatenciesOf(declared);
  for (const auto& home : declared.regions) {
    auto& order = orders_[home.name];
    for (const auto& each : declared.regions)
      order.push_back(each.name);
    std::stable_sort(order.begin(), order.end(),
                     [&](const auto& a, const auto& b) {
                       return LatencyOf(latencies, home.name, a) <
                              LatencyOf(latencies, home.name, b);
                     });
  }
}

const std::vector<std::string>& region_order::RegionsByLatencyFrom(
    std::string_view home) const {
  static const std::vector<std::string> none;
  const auto found = orders_.find(home);
  return found == orders_.end() ? none : found->second;
}

}  // namespace samphire
