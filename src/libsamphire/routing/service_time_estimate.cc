#include "routing/service_time_estimate.h"

namespace samphire {

namespace {

// The weight of one sample. Some ten responses, about a second's worth,
// determine the estimate.
constexpr double kSampleWeight = 0.1;
// The time with the key in memory as a fraction of the time without it, until
// responses have been measured.
constexpr double kInitialWarmShare = 0.33;

}  // namespace

service_time_estimate::service_time_estimate(milliseconds objective)
    : warm_ms_(static_cast<double>(objective.count()) * kInitialWarmShare),
      cold_ms_(static_cast<double>(objective.count())) {}

void service_time_estimate::AddSample(bool knows_key, double ms) {
  double& estimate = knows_key ? warm_ms_ : cold_ms_;
  ++(knows_key ? warm_count_ : cold_count_);
  estimate += (ms - estimate) * kSampleWeight;
}

}  // namespace samphire
