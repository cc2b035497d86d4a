#include "experiment/latency_percentiles.h"

#include <algorithm>
#include <cmath>

namespace samphire {

namespace {

double Ms(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Uses the nearest-rank method without interpolation, so that each figure is a
// latency that a caller observed.
double AtRank(const std::vector<duration>& sorted, double share) {
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return Ms(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

}  // namespace

latency_percentiles PercentilesOf(std::vector<duration> latencies) {
  if (latencies.empty())
    return {};
  std::sort(latencies.begin(), latencies.end());
  return {.count = latencies.size(),
          .p50_ms = AtRank(latencies, 0.5),
          .p90_ms = AtRank(latencies, 0.9),
          .p99_ms = AtRank(latencies, 0.99),
          .p999_ms = AtRank(latencies, 0.999),
          .max_ms = Ms(latencies.back())};
}

}  // namespace samphire
