#include "decision/bulk_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace samphire {

namespace {

// Time constant of the moving average of interactive demand: long compared with
// one request, short compared with the minutes over which demand rises when it
// rains.
constexpr std::chrono::duration<double> kDemandAveragingTime =
    std::chrono::seconds(2);
// Slots reserved for interactive work above its mean demand, in standard
// deviations of a Poisson process. Bulk work can't be interrupted, so a slot
// that it takes is unavailable for seconds: at two deviations one arrival in
// fifty may find no free slot.
constexpr double kReserveDeviations = 2;
// Bulk work gets one slot after an eighth of its total time has passed, so that
// it finishes before its deadline even when interactive work never leaves a
// slot free. With fewer than kFewSlots slots that one slot is a third or more
// of what interactive work has, so it is granted only after half of the time.
constexpr std::uint32_t kFewSlots = 4;
constexpr int kStarvationDivisor = 8;
constexpr int kStarvationDivisorFewSlots = 2;

}  // namespace

void bulk_limit::OnInteractiveLoad(std::uint32_t count, time_point now) {
  if (updated_ != time_point{}) {
    const std::chrono::duration<double> passed = now - updated_;
    const double kept = std::exp(-passed / kDemandAveragingTime);
    mean_ = current_ + (mean_ - current_) * kept;
  }
  current_ = count;
  updated_ = now;
}

std::uint32_t bulk_limit::allowed(std::uint32_t slots) const {
  if (slots == 0 || percent_ == 0)
    return 0;
  // Two bounds apply. The share set by the operator keeps slots for interactive
  // work even when there has been none recently. The measured demand keeps as
  // many slots as interactive work has been using, so that long downloads don't
  // occupy the slots that the readings of the next seconds need.
  const std::uint32_t share = std::max(1U, slots * percent_ / 100);
  const double reserve = mean_ + kReserveDeviations * std::sqrt(mean_);
  const double rest = std::floor(slots - reserve);
  return std::min(share, static_cast<std::uint32_t>(std::max(0.0, rest)));
}

duration bulk_limit::starvation_limit(std::uint32_t slots,
                                      duration whole_time) const {
  return whole_time /
         (slots < kFewSlots ? kStarvationDivisorFewSlots : kStarvationDivisor);
}

}  // namespace samphire
