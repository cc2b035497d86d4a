#ifndef DECISION_SLOT_RAMP_H_
#define DECISION_SLOT_RAMP_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Which part of a target's slots may be used while its caches warm up.
class slot_ramp {
 public:
  // `stagger` in [0, 1) rounds small shares up or down, see usable().
  slot_ramp(duration length, double stagger)
      : length_(length), stagger_(stagger) {}

  // Starts from nothing usable but the first slot.
  void Restart(time_point now);
  // The target shed load: half of what was usable stays so.
  void Halve(time_point now);

  double fraction(time_point now) const;
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
