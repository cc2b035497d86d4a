#include "routing/target_pauses.h"

#include <algorithm>

namespace samphire {

void target_pauses::Pause(const live_target& target, time_point until) {
  auto& current = pauses_[target.id];
  if (current.started_ms != target.started_ms)
    current = {.until = until, .started_ms = target.started_ms};
  current.until = std::max(current.until, until);
}

time_point target_pauses::PausedUntil(const live_target& target) const {
  const auto found = pauses_.find(target.id);
  const bool same_process =
      found != pauses_.end() && found->second.started_ms == target.started_ms;
  return same_process ? found->second.until : time_point{};
}

bool target_pauses::HasAny(time_point now) {
  std::erase_if(pauses_,
                [now](const auto& each) { return each.second.until <= now; });
  return !pauses_.empty();
}

}  // namespace samphire
