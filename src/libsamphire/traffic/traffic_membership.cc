#include "traffic/traffic_membership.h"

namespace samphire {

namespace {

// Time for which a suspected entry may refute the suspicion before it is
// declared failed. A failed entry must be removed from look-ups within about
// six seconds, which include the probe interval of one second.
constexpr milliseconds kSuspicionTimeout{2500};

}  // namespace

membership_options TrafficMembershipOptions(milliseconds /*unlisting_time*/) {
  membership_options options;
  options.suspicion_timeout = kSuspicionTimeout;
  return options;
}

}  // namespace samphire
