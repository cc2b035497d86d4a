#ifndef ROUTING_SERVICE_TIME_ESTIMATE_H_
#define ROUTING_SERVICE_TIME_ESTIMATE_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Estimates the time that a target works on a request of one route, excluding
// queueing, for keys that the target has in memory and for keys that it has
// not. Not thread-safe.
class service_time_estimate {
 public:
  // Uses the latency objective as the time without the key in memory until
  // responses have been measured.
  explicit service_time_estimate(milliseconds objective);

  void AddSample(bool knows_key, double ms);
  // Returns the estimate in ms.
  double Ms(bool knows_key) const { return knows_key ? warm_ms_ : cold_ms_; }
  // Returns whether the estimate is based on enough responses rather than on
  // the objective.
  bool IsMeasured(bool knows_key) const {
    return (knows_key ? warm_count_ : cold_count_) >= kMinSamples;
  }

 private:
  // With fewer samples, all of them may be outliers.
  static constexpr std::uint32_t kMinSamples = 5;

  double warm_ms_;
  double cold_ms_;
  std::uint32_t warm_count_ = 0;
  std::uint32_t cold_count_ = 0;
};

}  // namespace samphire

#endif  // ROUTING_SERVICE_TIME_ESTIMATE_H_
