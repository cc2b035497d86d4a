#include "routing/split_scenario.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace samphire {

namespace {

std::vector<double> Deviations(const std::vector<double>& shares,
                               const std::vector<route_part>& parts) {
  double total = 0;
  for (const auto& part : parts)
    total += part.weight;
  std::vector<double> deviations;
  for (std::size_t i = 0; i < parts.size(); ++i)
    deviations.push_back(std::abs(shares[i] - parts[i].weight / total));
  return deviations;
}

}  // namespace

double DeviationOf(const std::vector<double>& shares,
                   const std::vector<route_part>& parts) {
  return std::ranges::max(Deviations(shares, parts));
}

double MeanDeviationOf(const std::vector<double>& shares,
                       const std::vector<route_part>& parts) {
  const auto deviations = Deviations(shares, parts);
  return std::accumulate(deviations.begin(), deviations.end(), 0.0) /
         static_cast<double>(deviations.size());
}

}  // namespace samphire
