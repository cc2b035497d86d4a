#ifndef ROUTING_SERVICE_TIME_ESTIMATE_H_
#define ROUTING_SERVICE_TIME_ESTIMATE_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// How long a target works on a request of one route, apart from queueing:
// with its key in memory and without.
class service_time_estimate {
 public:
  // Until answers tell, the objective is taken for the time without the key.
  explicit service_time_estimate(milliseconds objective);

  void Learn(bool knows_key, double ms);
  double Ms(bool knows_key) const { return knows_key ? warm_ms_ : cold_ms_; }
  // Whether answers, not the objective, stand behind the estimate.
  bool IsLearned(bool knows_key) const {
    return (knows_key ? warm_count_ : cold_count_) >= kEnough;
  }

 private:
  // Fewer may all be outliers.
  static constexpr std::uint32_t kEnough = 5;

  double warm_ms_;
  double cold_ms_;
  std::uint32_t warm_count_ = 0;
  std::uint32_t cold_count_ = 0;
};

}  // namespace samphire

#endif  // ROUTING_SERVICE_TIME_ESTIMATE_H_
