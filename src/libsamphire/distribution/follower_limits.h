#ifndef DISTRIBUTION_FOLLOWER_LIMITS_H_
#define DISTRIBUTION_FOLLOWER_LIMITS_H_

#include "base/clock_source.h"

namespace samphire {

// The times a follower goes by.
struct follower_limits {
  // How long one watch waits: the age of a confirmation stays near this.
  milliseconds watch_wait{4000};
  // A start in an outage tries the platform this long before it asks peers.
  milliseconds boot_wait{1500};
  // Without a confirmation for this long the platform is asked directly.
  milliseconds confirm_within{12'000};
  milliseconds first_retry{200};
  milliseconds longest_retry{4000};
  milliseconds watcher_instances_every{2000};
  milliseconds peer_instances_every{4000};
  // Each entry's own number between 0 and 1: spreads what all would else do
  // at the same moment.
  double jitter = 0.5;
};

}  // namespace samphire

#endif  // DISTRIBUTION_FOLLOWER_LIMITS_H_
