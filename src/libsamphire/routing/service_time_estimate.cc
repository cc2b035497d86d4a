#include "routing/service_time_estimate.h"

namespace samphire {

namespace {

// One answer moves the estimate by this share: some ten answers, about a
// second's worth, decide it.
constexpr double kWeight = 0.1;
// Of the time without the key in memory, until answers tell better.
constexpr double kWarmShare = 0.33;

}  // namespace

service_time_estimate::service_time_estimate(milliseconds objective)
    : warm_ms_(static_cast<double>(objective.count()) * kWarmShare),
      cold_ms_(static_cast<double>(objective.count())) {}

void service_time_estimate::Learn(bool knows_key, double ms) {
  double& estimate = knows_key ? warm_ms_ : cold_ms_;
  ++(knows_key ? warm_count_ : cold_count_);
  estimate += (ms - estimate) * kWeight;
}

}  // namespace samphire
