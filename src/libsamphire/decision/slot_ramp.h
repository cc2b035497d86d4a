#ifndef DECISION_SLOT_RAMP_H_
#define DECISION_SLOT_RAMP_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// The part of a target's slots that may be used while its caches warm up: it
// grows linearly to all slots over the length of the ramp. Starts complete. Not
// thread-safe.
class slot_ramp {
 public:
  // `length` is the time from no usable slots to all of them. `stagger` in [0,
  // 1) decides whether a fractional number of slots is rounded up or down, see
  // usable().
  slot_ramp(duration length, double stagger)
      : length_(length), stagger_(stagger) {}

  // Restarts the ramp with no slots usable.
  void Restart(time_point now);
  // Halves the usable part, because the target shed load, and ramps up from
  // there.
  void Halve(time_point now);

  // Usable part of the slots, in 0..1.
  double fraction(time_point now) const;
  // How many out of `slots` slots may be used.
  std::uint32_t usable(std::uint32_t slots, time_point now) const;
  bool complete(time_point now) const { return fraction(now) >= 1; }

 private:
  duration length_;
  double stagger_;
  double start_fraction_ = 1;
  time_point started_;
};

}  // namespace samphire

#endif  // DECISION_SLOT_RAMP_H_
