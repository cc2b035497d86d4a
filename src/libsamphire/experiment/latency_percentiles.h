#ifndef EXPERIMENT_LATENCY_PERCENTILES_H_
#define EXPERIMENT_LATENCY_PERCENTILES_H_

#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Exact percentiles, in milliseconds, of all latencies of a run, computed from
// the full sample. All zero for an empty sample.
struct latency_percentiles {
  // Sample size.
  std::size_t count = 0;
  double p50_ms = 0;
  double p90_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  double max_ms = 0;
};

// Computes the percentiles; sorts its own copy of the latencies.
latency_percentiles PercentilesOf(std::vector<duration> latencies);

}  // namespace samphire

#endif  // EXPERIMENT_LATENCY_PERCENTILES_H_
