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

// The counters, gauges and latency summaries of one process, by name and
// labels. `labels` is ready Prometheus text such as `reason="queue-full"`.
class metrics {
 public:
  void Count(std::string_view name,
             std::string_view labels = {},
             std::int64_t by = 1);
  void Set(std::string_view name, std::string_view labels, double value);
  void Observe(std::string_view name,
               std::string_view labels,
               duration latency);

  // One refusal told to a caller or peer, counted by its reason.
  void CountRefusal(result_code reason);
  // One further attempt, counted by the reason that made it necessary.
  void CountRetry(result_code reason);

  std::int64_t counter(std::string_view name, std::string_view labels = {});

  // Everything as Prometheus text.
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
