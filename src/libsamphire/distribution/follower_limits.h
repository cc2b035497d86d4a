#ifndef DISTRIBUTION_FOLLOWER_LIMITS_H_
#define DISTRIBUTION_FOLLOWER_LIMITS_H_

#include "base/clock_source.h"

namespace samphire {

// Timeouts and intervals of a follower.
struct follower_limits {
  // For how long one watch waits for a change. An unchanged watch confirms the
  // version in force, so the confirmation age stays near this value.
  milliseconds watch_timeout{4000};
  // For how long after its start an entry without a configuration tries only
  // the platform before it queries peers.
  milliseconds peer_fallback_delay{1500};
  // Without a confirmation for this long, and for up to half as long again
  // according to `jitter`, the platform is queried directly.
  milliseconds max_confirmation_age{12'000};
  // Backoff after failed reads of the root and failed loads: the delay after
  // the first failure, which doubles with each further one, and its upper
  // bound. `jitter` then changes the delay by up to a quarter.
  milliseconds initial_retry_delay{200};
  milliseconds max_retry_delay{4000};
  // Interval at which a watcher reads the instance list from the platform, and
  // at which the other entries request it from a peer.
  milliseconds watcher_instances_interval{2000};
  milliseconds peer_instances_interval{4000};
  // Jitter factor of this entry between 0 and 1, which spreads over time what
  // all entries would otherwise do at the same moment.
  double jitter = 0.5;
};

}  // namespace samphire

#endif  // DISTRIBUTION_FOLLOWER_LIMITS_H_
