#include "traffic/following/platform_fallback.h"

namespace samphire {

namespace {

// Time for which a follower waits for stale peers to recover before it queries
// the platform itself. Watchers and backup watchers that lost the platform for
// a moment usually have a fresh copy again within this time. With a longer
// hold-off, a follower whose peers alone are partitioned from the platform
// would keep using an outdated configuration.
constexpr milliseconds kHoldOff{600};

}  // namespace

bool platform_fallback::MayQuery(time_point now) const {
  const bool held_off = stale_since_ && now - *stale_since_ < kHoldOff;
  return !held_off && now >= not_before_;
}

void platform_fallback::OnPeersStale(time_point now) {
  if (!stale_since_)
    stale_since_ = now;
  ++stale_rounds_;
}

void platform_fallback::OnUpdate() {
  stale_rounds_ = 0;
  stale_since_.reset();
  not_before_ = {};
}

void platform_fallback::OnPlatformFailed(time_point now, milliseconds pause) {
  not_before_ = now + pause;
}

}  // namespace samphire
