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
// A standing delay that callers would notice on top of tens of milliseconds of
// work; below it, shedding would refuse work that there is room for.
constexpr duration kTargetDelay = milliseconds(20);
// Twelve steps from nothing shed to a whole priority shed: slow enough that one
// bad interval sheds little, fast enough to act within about a second.
constexpr double kStepUp = 0.08;
constexpr double kStepDown = 0.04;
constexpr double kMaxLevel = 2;
// Shedding a priority pays only while there is a higher one to gain by it.
constexpr duration kSeenFor = milliseconds(1000);

}  // namespace

void load_shedder::OnArrival(priority rank, time_point now) {
  if (rank == priority::kNormal)
    last_normal_ = now;
  if (rank == priority::kHigh)
    last_high_ = now;
}

bool load_shedder::Admits(priority rank, double draw, time_point now) {
  CloseInterval(now);
  const double shed_part = level_ - static_cast<double>(rank);
  return draw >= shed_part || !SeenAbove(rank, now);
}

void load_shedder::OnStart(duration waited, time_point now) {
  CloseInterval(now);
  last_delay_ = waited;
  least_delay_ = std::min(least_delay_, waited);
}

void load_shedder::CloseInterval(time_point now) {
  if (now < interval_end_)
    return;
  // An interval without a start says nothing: a stall must not raise the
  // level, nor an idle entry keep it.
  const bool standing =
      least_delay_ != duration::max() && least_delay_ > kTargetDelay;
  const bool idle = now - interval_end_ > kInterval;
  if (idle)
    level_ = 0;
  else if (standing)
    level_ = std::min(kMaxLevel, level_ + kStepUp);
  else
    level_ = std::max(0.0, level_ - kStepDown);
  least_delay_ = duration::max();
  interval_end_ = now + kInterval;
}

bool load_shedder::SeenAbove(priority rank, time_point now) const {
  const auto lately = [&](time_point seen) {
    return seen != time_point{} && now - seen < kSeenFor;
  };
  if (rank == priority::kLow && lately(last_normal_))
    return true;
  return rank != priority::kHigh && lately(last_high_);
}

}  // namespace samphire
