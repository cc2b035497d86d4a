#ifndef DECISION_TARGET_STATE_H_
#define DECISION_TARGET_STATE_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "decision/slot_ramp.h"
#include "decision/target_health.h"

namespace samphire {

// State of one target at this entry.
struct target_state {
  explicit target_state(slot_ramp initial) : ramp(initial) {}

  std::string name;
  std::string address;
  std::string failure_domain;

  // Slots owned through slot partitions, and how many of them are lent.
  std::uint32_t owned = 0;
  std::uint32_t lent = 0;
  // Requests running on owned slots, and on owned and borrowed slots together.
  std::uint32_t running_on_owned = 0;
  std::uint32_t running = 0;
  // False once the target is gone from the declaration; the state is kept until
  // its work has ended.
  bool declared = true;
  // Draining, leaving or gone: receives no new work.
  bool closed = false;
  // A crash suspect is running here; nothing else may start.
  bool isolating = false;
  // The load that the target reports of itself, in 0..1.
  double load_hint = 0;
  time_point last_used;

  slot_ramp ramp;
  target_health health;

  // Number of owned slots that may start work now.
  std::uint32_t FreeOwned(time_point now) const;
  bool open() const { return declared && !closed; }
};

}  // namespace samphire

#endif  // DECISION_TARGET_STATE_H_
