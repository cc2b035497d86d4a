#include "decision/target_state.h"

namespace samphire {

std::uint32_t target_state::FreeOwned(time_point now) const {
  // If the number of owned slots was reduced while work was running, more work
  // may run than slots are owned; nothing starts until enough of it has ended.
  const std::uint32_t taken = lent + running_on_owned;
  const std::uint32_t usable =
      health.serving() ? ramp.usable(owned, now) : owned;
  return usable > taken ? usable - taken : 0;
}

}  // namespace samphire
