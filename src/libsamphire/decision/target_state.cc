#include "decision/target_state.h"

namespace samphire {

std::uint32_t target_state::OwnFree(time_point now) const {
  // A share that was lowered while work ran leaves more running than owned;
  // nothing starts until it has drained.
  const std::uint32_t taken = lent + own_running;
  const std::uint32_t usable =
      health.serving() ? ramp.usable(owned, now) : owned;
  return usable > taken ? usable - taken : 0;
}

}  // namespace samphire
