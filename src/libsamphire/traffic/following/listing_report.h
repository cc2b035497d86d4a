#ifndef TRAFFIC_FOLLOWING_LISTING_REPORT_H_
#define TRAFFIC_FOLLOWING_LISTING_REPORT_H_

#include <vector>

#include "base/clock_source.h"
#include "membership/member.h"
#include "metrics/metrics.h"
#include "traffic/following/listed_entry.h"

namespace samphire {

// Tell, for any look-up and any entry that it named, when that entry was last
// heard of, its state, and why it was named.

// Logs and counts each entry that look-ups begin or cease to name, or name in
// another state or for another reason. `members` are all that are known at
// `now`. Bounded by the changes of members: at most one line for each.
void LogListingChanges(const std::vector<listed_entry>& before,
                       const std::vector<listed_entry>& after,
                       const std::vector<member>& members,
                       time_point now,
                       metrics& registry);

// Sets the number of entries that look-ups name by state and reason, and the
// longest time, in seconds, for which any of the others has not been heard of.
void SetListingMetrics(const std::vector<listed_entry>& listed,
                       time_point now,
                       metrics& registry);

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_LISTING_REPORT_H_
