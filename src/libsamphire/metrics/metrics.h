#ifndef METRICS_METRICS_H_
#define METRICS_METRICS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "base/sharded.h"
#include "metrics/latency_summary.h"

namespace samphire {

// The counters, gauges and latency summaries of one process, identified by name
// and labels. Names are given without the prefix "samphire_"; `labels` is
// Prometheus text such as `reason="queue-full"`. Thread-safe.
class metrics {
 public:
  // Adds to a counter, which starts at 0.
  void Count(std::string_view name,
             std::string_view labels = {},
             std::int64_t increment = 1);
  // Sets the value of a gauge.
  void Set(std::string_view name, std::string_view labels, double value);
  // Adds a latency to a summary, which is exported in seconds.
  void Observe(std::string_view name,
               std::string_view labels,
               duration latency);

  // Counts a refusal sent to a caller or peer, labelled with its reason.
  void CountRefusal(result_code reason);
  // Counts a retry, labelled with the failure that made it necessary.
  void CountRetry(result_code reason);

  // Returns the value of a counter, or 0 if it does not exist.
  std::int64_t counter(std::string_view name, std::string_view labels = {});

  // Returns all metrics in the Prometheus text format.
  std::string Render();

 private:
  using series_key = std::pair<std::string, std::string>;
  struct shard_state {
    std::map<series_key, std::int64_t> counters;
    std::map<series_key, double> gauges;
    std::map<series_key, latency_summary> latencies;
  };
  sharded<shard_state> shards_;
};

}  // namespace samphire

#endif  // METRICS_METRICS_H_
