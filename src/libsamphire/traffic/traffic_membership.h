#ifndef TRAFFIC_TRAFFIC_MEMBERSHIP_H_
#define TRAFFIC_TRAFFIC_MEMBERSHIP_H_

#include "base/clock_source.h"
#include "membership/membership_options.h"

namespace samphire {

// Returns the options of the membership protocol for an entry whose look-ups
// must cease to name an entry within `unlisting_time` of its end.
membership_options TrafficMembershipOptions(milliseconds unlisting_time);

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_MEMBERSHIP_H_
