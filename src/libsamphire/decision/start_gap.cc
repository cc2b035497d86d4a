#include "decision/start_gap.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// Follows the last twenty starts: a lost target shows within a few of them.
constexpr double kWeight = 0.05;
constexpr std::uint32_t kSamplesToTrust = 10;
constexpr duration kFreshFor = std::chrono::seconds(1);

}  // namespace

void start_gap::OnStart(bool more_wait, time_point now) {
  if (now - last_ > kFreshFor)
    samples_ = 0;
  // Only gaps in which somebody waited throughout tell of the pace.
  if (open_) {
    const auto gap = now - last_;
    ++samples_;
    const double weight = std::max(kWeight, 1.0 / samples_);
    mean_ += std::chrono::duration_cast<duration>((gap - mean_) * weight);
  }
  open_ = more_wait;
  last_ = now;
}

std::optional<duration> start_gap::mean(time_point now) const {
  if (samples_ < kSamplesToTrust || now - last_ > kFreshFor)
    return std::nullopt;
  return mean_;
}

}  // namespace samphire
