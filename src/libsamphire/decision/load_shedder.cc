#include "decision/load_shedder.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

using std::chrono::milliseconds;

// Protects against sustained overload with a mix of priorities. Without load
// shedding the highest priority is still served first, but lower ones fill the
// queue, wait, and are refused only after their time is lost.
//
// The minimum delay over an interval distinguishes a standing queue from a
// burst: a burst that drains leaves at least one request that hardly waited.
constexpr duration kInterval = milliseconds(100);
// After this long without a start no earlier measurement is valid.
constexpr duration kMeasurementExpiry = milliseconds(2000);
// Callers notice a standing delay above this fraction of the service time;
// below it, shedding would refuse work for which there is capacity. The minimum
// is for work that is short compared with the round trip of a loan.
constexpr double kTargetDelayFraction = 0.4;
constexpr duration kMinTargetDelay = milliseconds(5);
// A queue that has stood for this many intervals means overload, not a burst.
// Letting it grow to the deadline then serves nobody: the same number of
// requests is answered with a short queue, and each of them sooner.
constexpr int kStandingIntervals = 10;
// A single interval with little delay doesn't end an overload; if each one
// lifted the bound on the wait, the queue would fill up to the deadline before
// the bound was applied again.
constexpr int kMaxStandingIntervals = 30;
constexpr int kStandingDecay = 2;
// Long enough that every slot has its next request queued while loans are in
// transit.
constexpr int kWaitBoundInServiceTimes = 2;
constexpr duration kMinWaitBound = milliseconds(25);
// Twelve steps go from no shedding to shedding a whole priority: slow enough
// that one bad interval sheds little, fast enough to react within about a
// second.
constexpr double kShedStepUp = 0.08;
constexpr double kShedStepDown = 0.04;
constexpr double kMaxShedLevel = 2;
// Shedding a priority is useful only while requests of a higher one arrive that
// benefit from it.
constexpr duration kPriorityActiveTime = milliseconds(1000);

}  // namespace

void load_shedder::OnArrival(priority rank, time_point now) {
  last_arrival_[static_cast<std::size_t>(rank)] = now;
}

bool load_shedder::Admits(priority rank, double draw, time_point now) {
  CloseInterval(now);
  const double shed_fraction = level_ - static_cast<double>(rank);
  return draw >= shed_fraction || !IsHigherActive(rank, now);
}

void load_shedder::OnStart(priority rank,
                           duration waited,
                           duration mean_service,
                           time_point now) {
  target_delay_ =
      std::max(kMinTargetDelay, std::chrono::duration_cast<duration>(
                                    mean_service * kTargetDelayFraction));
  CloseInterval(now);
  // Higher priorities overtake the queue, so their delay would hide a standing
  // queue.
  if (rank != MeasuredPriority(now))
    return;
  last_delay_ = waited;
  min_delay_ = std::min(min_delay_, waited);
}

void load_shedder::CloseInterval(time_point now) {
  if (now < interval_end_)
    return;
  if (now - interval_end_ > kMeasurementExpiry) {
    level_ = 0;
    standing_intervals_ = 0;
  } else if (min_delay_ == duration::max()) {
    // An interval without a start gives no information: every slot may be lent
    // or busy with long work. The interval is extended until a request starts.
    return;
  } else if (min_delay_ > target_delay_) {
    standing_intervals_ =
        std::min(kMaxStandingIntervals, standing_intervals_ + 1);
    level_ = std::min(kMaxShedLevel, level_ + kShedStepUp);
  } else {
    standing_intervals_ = std::max(0, standing_intervals_ - kStandingDecay);
    level_ = std::max(0.0, level_ - kShedStepDown);
  }
  min_delay_ = duration::max();
  interval_end_ = now + kInterval;
}

duration load_shedder::WaitBound(duration mean_service) const {
  if (standing_intervals_ < kStandingIntervals)
    return duration::max();
  return std::max(kMinWaitBound, mean_service * kWaitBoundInServiceTimes);
}

bool load_shedder::IsActive(priority rank, time_point now) const {
  const auto seen = last_arrival_[static_cast<std::size_t>(rank)];
  return seen != time_point{} && now - seen < kPriorityActiveTime;
}

bool load_shedder::IsHigherActive(priority rank, time_point now) const {
  return (rank < priority::kNormal && IsActive(priority::kNormal, now)) ||
         (rank < priority::kHigh && IsActive(priority::kHigh, now));
}

// Returns the lowest priority that still gets slots, since it waits the
// longest. While no higher priority is active it is not shed, whatever the
// level.
priority load_shedder::MeasuredPriority(time_point now) const {
  for (const auto rank : {priority::kLow, priority::kNormal}) {
    const bool all_shed =
        level_ >= static_cast<double>(rank) + 1 && IsHigherActive(rank, now);
    if (IsActive(rank, now) && !all_shed)
      return rank;
  }
  return priority::kHigh;
}

}  // namespace samphire
