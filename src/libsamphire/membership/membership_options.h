#ifndef MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <cstddef>

#include "base/clock_source.h"

namespace samphire {

// Intervals and limits of the membership protocol. The bytes that a node sends
// follow from them and do not depend on the size of the fleet.
struct membership_options {
  // Time between the probes of random members that one entry starts.
  milliseconds probe_interval{1000};
  // Time between the pings of the next member in the ring; see ring_watch.
  milliseconds watch_interval{1500};
  // Time without an ack after which a member is probed again, and the watch of
  // the ring goes on to the next members. After twice this time other members
  // are asked to probe it.
  milliseconds direct_probe_timeout{300};
  // Time without any ack after which the subject of a probe is suspected.
  milliseconds probe_timeout{1500};
  // Number of members that are asked to probe indirectly.
  std::size_t indirect_probes = 3;
  // Time that a suspected member has to refute the suspicion, in a region of
  // ten members. It grows with the logarithm of the number of members, as
  // updates take longer to reach all of them.
  milliseconds suspicion_timeout{4000};
  // Time for which a dead member is remembered and still sent a join now and
  // then. Regions may be cut off from each other for an hour; after a longer
  // time only the instance list of the platform helps them find each other.
  milliseconds tombstone_retention{7'200'000};
  // Time between rounds of joins to seeds and dead members, while some part of
  // the fleet is not reachable.
  milliseconds join_retry_interval{5000};
  // Time between the digests that a delegate sends to other regions.
  milliseconds region_interval{2000};
  // Minimum time between requests for missing member records.
  milliseconds sync_interval{5000};
  // Bytes of piggybacked updates in one message.
  std::size_t gossip_budget_bytes = 320;
  // Number of members of a region (its delegates) that exchange digests with
  // other regions.
  std::size_t delegates = 2;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
