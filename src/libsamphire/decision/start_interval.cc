#include "decision/start_interval.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// The mean follows the last twenty starts, so that a lost target shows within a
// few of them.
constexpr double kMinMeanWeight = 0.05;
// With fewer samples, or when the last start is older than kMaxSampleAge, there
// is no mean.
constexpr std::uint32_t kMinSamples = 10;
constexpr duration kMaxSampleAge = std::chrono::seconds(1);

}  // namespace

void start_interval::OnStart(bool more_wait, time_point now) {
  if (now - last_ > kMaxSampleAge)
    samples_ = 0;
  // Only intervals during which requests were waiting throughout measure the
  // rate of the queue.
  if (others_waited_) {
    const auto gap = now - last_;
    ++samples_;
    const double weight = std::max(kMinMeanWeight, 1.0 / samples_);
    mean_ += std::chrono::duration_cast<duration>((gap - mean_) * weight);
  }
  others_waited_ = more_wait;
  last_ = now;
}

std::optional<duration> start_interval::mean(time_point now) const {
  if (samples_ < kMinSamples || now - last_ > kMaxSampleAge)
    return std::nullopt;
  return mean_;
}

}  // namespace samphire
