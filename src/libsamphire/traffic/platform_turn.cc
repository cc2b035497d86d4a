#include "traffic/platform_turn.h"

namespace samphire {

namespace {

// Watchers and deputies that lost the platform for a moment mostly have a fresh
// copy again by then. Longer, and a follower whose peers alone are cut off
// would go by an old configuration.
constexpr milliseconds kHoldOff{600};

}  // namespace

bool platform_turn::MayAsk(time_point now) const {
  const bool held_off = stale_since_ && now - *stale_since_ < kHoldOff;
  return !held_off && now >= not_before_;
}

void platform_turn::OnPeersStale(time_point now) {
  if (!stale_since_)
    stale_since_ = now;
  ++stale_rounds_;
}

void platform_turn::OnNews() {
  stale_rounds_ = 0;
  stale_since_.reset();
  not_before_ = {};
}

void platform_turn::OnPlatformFailed(time_point now, milliseconds pause) {
  not_before_ = now + pause;
}

}  // namespace samphire
