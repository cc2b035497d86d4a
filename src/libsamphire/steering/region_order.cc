#include "steering/region_order.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

using latency_table =
    std::map<std::pair<std::string, std::string>, microseconds>;

latency_table LatenciesOf(const declaration& declared) {
  latency_table table;
  for (const auto& one : declared.latencies) {
    table[{one.from, one.to}] = one.one_way;
    table[{one.to, one.from}] = one.one_way;
  }
  return table;
}

// A pair without a declared latency is taken for the farthest: nobody is sent
// the long way because a line is missing in the file.
microseconds LatencyOf(const latency_table& table,
                       const std::string& from,
                       const std::string& to) {
  if (from == to)
    return microseconds(-1);
  const auto found = table.find({from, to});
  return found == table.end() ? microseconds::max() : found->second;
}

}  // namespace

// Regions that are equally far keep the order of the declaration, so that
// every entry gives the same answer.
region_order::region_order(const declaration& declared) {
  const auto latencies = LatenciesOf(declared);
  for (const auto& home : declared.regions) {
    auto& order = orders_[home.name];
    for (const auto& one : declared.regions)
      order.push_back(one.name);
    std::stable_sort(order.begin(), order.end(),
                     [&](const auto& a, const auto& b) {
                       return LatencyOf(latencies, home.name, a) <
                              LatencyOf(latencies, home.name, b);
                     });
  }
}

const std::vector<std::string>& region_order::From(
    std::string_view home) const {
  static const std::vector<std::string> none;
  const auto found = orders_.find(home);
  return found == orders_.end() ? none : found->second;
}

}  // namespace samphire
