#ifndef DECISION_TARGET_STATE_H_
#define DECISION_TARGET_STATE_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "decision/slot_ramp.h"
#include "decision/target_health.h"

namespace samphire {

// One target as this entry sees and uses it.
struct target_state {
  explicit target_state(slot_ramp initial) : ramp(initial) {}

  std::string name;
  std::string address;
  std::string failure_domain;

  std::uint32_t owned = 0;
  std::uint32_t lent = 0;
  // Running on own slots, and on own and borrowed ones together.
  std::uint32_t own_running = 0;
  std::uint32_t running = 0;
  // Gone from the declaration; kept until its work has ended.
  bool declared = true;
  // Draining, leaving or gone: no new work.
  bool closed = false;
  // A crash suspect runs here alone.
  bool isolating = false;
  // What the target says of its own load, in 0..1.
  double hint = 0;
  time_point last_used;

  slot_ramp ramp;
  target_health health;

  // Own slots that may start work now.
  std::uint32_t OwnFree(time_point now) const;
  bool open() const { return declared && !closed; }
};

}  // namespace samphire

#endif  // DECISION_TARGET_STATE_H_
