#include "decision/load_shedder.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

using std::chrono::milliseconds;

// Made for sustained overload, with a mix of priorities. Without it the
// highest priority still comes first, but lower ones fill the queue, wait, and
// are told only after their time is lost.
//
// The least delay over an interval tells a standing queue from a burst: a burst
// that drains leaves at least one request that hardly waited.
constexpr duration kInterval = milliseconds(100);
// After this long without a start nothing that was measured holds any more.
constexpr duration kForgetAfter = milliseconds(2000);
// A standing delay above this part of the work itself is one that callers
// notice; below it, shedding would refuse work that there is room for. The
// least is for work that is short against a loan's round trip.
constexpr double kTargetDelayPart = 0.4;
constexpr duration kLeastTargetDelay = milliseconds(5);
// A queue that has stood for this many intervals is no burst but overload. It
// then serves nobody to let it grow to the deadline: as many are answered with
// a short queue, and each of them sooner.
constexpr int kStandingIntervals = 10;
// A single calm interval does not end an overload; were the bound lifted at
// each, the queue would fill up to the deadline again before it came back.
constexpr int kMaxStanding = 30;
constexpr int kCalmStep = 2;
// Long enough that every slot has its next request while loans are under way.
constexpr int kStandingBoundInServices = 2;
constexpr duration kLeastStandingBound = milliseconds(25);
// Twelve steps from nothing shed to a whole priority shed: slow enough that one
// bad interval sheds little, fast enough to act within about a second.
constexpr double kStepUp = 0.08;
constexpr double kStepDown = 0.04;
constexpr double kMaxLevel = 2;
// Shedding a priority pays only while there is a higher one to gain by it.
constexpr duration kSeenFor = milliseconds(1000);

}  // namespace

void load_shedder::OnArrival(priority rank, time_point now) {
  seen_[static_cast<std::size_t>(rank)] = now;
}

bool load_shedder::Admits(priority rank, double draw, time_point now) {
  CloseInterval(now);
  const double shed_part = level_ - static_cast<double>(rank);
  return draw >= shed_part || !SeenAbove(rank, now);
}

void load_shedder::OnStart(priority rank,
                           duration waited,
                           duration mean_service,
                           time_point now) {
  target_delay_ = std::max(
      kLeastTargetDelay,
      std::chrono::duration_cast<duration>(mean_service * kTargetDelayPart));
  CloseInterval(now);
  // Higher priorities pass the queue, so their delay hides that it stands.
  if (rank != MeasuredRank(now))
    return;
  last_delay_ = waited;
  least_delay_ = std::min(least_delay_, waited);
}

void load_shedder::CloseInterval(time_point now) {
  if (now < interval_end_)
    return;
  if (now - interval_end_ > kForgetAfter) {
    level_ = 0;
    standing_intervals_ = 0;
  } else if (least_delay_ == duration::max()) {
    // Without a start the interval says nothing: every slot may have long work
    // or be lent. It goes on until there is one.
    return;
  } else if (least_delay_ > target_delay_) {
    standing_intervals_ = std::min(kMaxStanding, standing_intervals_ + 1);
    level_ = std::min(kMaxLevel, level_ + kStepUp);
  } else {
    standing_intervals_ = std::max(0, standing_intervals_ - kCalmStep);
    level_ = std::max(0.0, level_ - kStepDown);
  }
  least_delay_ = duration::max();
  interval_end_ = now + kInterval;
}

duration load_shedder::WaitBound(duration mean_service) const {
  if (standing_intervals_ < kStandingIntervals)
    return duration::max();
  return std::max(kLeastStandingBound, mean_service * kStandingBoundInServices);
}

bool load_shedder::SeenLately(priority rank, time_point now) const {
  const auto seen = seen_[static_cast<std::size_t>(rank)];
  return seen != time_point{} && now - seen < kSeenFor;
}

bool load_shedder::SeenAbove(priority rank, time_point now) const {
  return (rank < priority::kNormal && SeenLately(priority::kNormal, now)) ||
         (rank < priority::kHigh && SeenLately(priority::kHigh, now));
}

// The lowest priority that still gets slots: it waits the longest. Without a
// higher one it is not shed, whatever the level.
priority load_shedder::MeasuredRank(time_point now) const {
  for (const auto rank : {priority::kLow, priority::kNormal}) {
    const bool all_shed =
        level_ >= static_cast<double>(rank) + 1 && SeenAbove(rank, now);
    if (SeenLately(rank, now) && !all_shed)
      return rank;
  }
  return priority::kHigh;
}

}  // namespace samphire
