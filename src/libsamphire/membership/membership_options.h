#ifndef MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <cstddef>

#include "base/clock_source.h"

namespace samphire {

// The pace of membership. Bytes per node follow from it and not from the size
// of the fleet.
struct membership_options {
  milliseconds probe_interval{1000};
  // After this time without an ack others are asked to probe.
  milliseconds direct_timeout{300};
  std::size_t indirect_probes = 3;
  // How long a suspect has to speak up, for ten members; it grows with the
  // logarithm, as news takes longer to reach all.
  milliseconds suspicion{4000};
  // How long a dead member is remembered and knocked at now and then. Regions
  // lose each other for an hour; after that the platform's list must do.
  milliseconds tombstone{7'200'000};
  milliseconds knock_interval{5000};
  milliseconds region_interval{2000};
  milliseconds sync_interval{5000};
  // Bytes of news in one message.
  std::size_t gossip_budget = 320;
  // Members of a region that speak with other regions.
  std::size_t delegates = 2;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
