#ifndef EXPERIMENT_LATENCY_PERCENTILES_H_
#define EXPERIMENT_LATENCY_PERCENTILES_H_

#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Exact percentiles of all latencies of a run.
struct latency_percentiles {
  std::size_t count = 0;
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double max_ms = 0;
};

latency_percentiles PercentilesOf(std::vector<duration> latencies);

}  // namespace samphire

#endif  // EXPERIMENT_LATENCY_PERCENTILES_H_
