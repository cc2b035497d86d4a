#include "decision/slot_ramp.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace samphire {

void slot_ramp::Restart(time_point now) {
  start_fraction_ = 0;
  started_ = now;
}

void slot_ramp::Halve(time_point now) {
  start_fraction_ = fraction(now) / 2;
  started_ = now;
}

double slot_ramp::fraction(time_point now) const {
  if (start_fraction_ >= 1 || length_ <= duration::zero())
    return 1;
  const std::chrono::duration<double> passed = now - started_;
  const std::chrono::duration<double> whole = length_;
  return std::min(1.0, start_fraction_ + std::max(0.0, passed / whole));
}

std::uint32_t slot_ramp::usable(std::uint32_t slots, time_point now) const {
  const double part = fraction(now);
  if (part >= 1)
    return slots;
  // Each entry owns only a few slots of a target. If every entry rounded up to
  // one, a cold target would receive its whole load at once; so each entry
  // rounds by its own `stagger`, and the sum over the entries follows the ramp.
  return std::min(slots, static_cast<std::uint32_t>(slots * part + stagger_));
}

}  // namespace samphire
