#include "decision/bulk_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace samphire {

namespace {

// Over how long the interactive demand is averaged: long against one request,
// short against the minutes in which demand rises with the rain.
constexpr std::chrono::duration<double> kMemory = std::chrono::seconds(2);
// Slots kept for interactive work above its mean, in standard deviations of a
// Poisson stream. Bulk work can't be interrupted, so a slot that it takes is
// gone for seconds: at two deviations an arrival in fifty may find none free.
constexpr double kReserveDeviations = 2;
// Bulk work gets one slot after an eighth of its time, so that it ends in time
// even when interactive work never leaves a slot. With few slots that one is a
// third or more of what interactive work has, so it is given late.
constexpr std::uint32_t kFewSlots = 4;
constexpr int kPatiencePart = 8;
constexpr int kPatiencePartOfFew = 2;

}  // namespace

void bulk_limit::OnInteractiveLoad(std::uint32_t count, time_point now) {
  if (updated_ != time_point{}) {
    const std::chrono::duration<double> passed = now - updated_;
    const double kept = std::exp(-passed / kMemory);
    mean_ = current_ + (mean_ - current_) * kept;
  }
  current_ = count;
  updated_ = now;
}

std::uint32_t bulk_limit::allowed(std::uint32_t slots) const {
  if (slots == 0 || percent_ == 0)
    return 0;
  // Two bounds. The operator's share keeps slots for interactive work even
  // when there has been none lately; the measured demand keeps as many as it
  // has been using, so that long downloads don't fill what the next seconds'
  // readings need.
  const std::uint32_t share = std::max(1U, slots * percent_ / 100);
  const double reserve = mean_ + kReserveDeviations * std::sqrt(mean_);
  const double rest = std::floor(slots - reserve);
  return std::min(share, static_cast<std::uint32_t>(std::max(0.0, rest)));
}

duration bulk_limit::patience(std::uint32_t slots, duration whole_time) const {
  return whole_time / (slots < kFewSlots ? kPatiencePartOfFew : kPatiencePart);
}

}  // namespace samphire
