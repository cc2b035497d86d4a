#ifndef TRAFFIC_FOLLOWING_ENTRY_LIST_BUILDER_H_
#define TRAFFIC_FOLLOWING_ENTRY_LIST_BUILDER_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "membership/member.h"
#include "membership/region_view.h"
#include "routing/recent_peak.h"
#include "traffic/following/entry_list.h"

namespace samphire {

// Derives from membership which entries callers may use and how many entries
// share the fleet-wide limits. Performs no I/O and takes the time as an
// argument. Not thread-safe.
class entry_list_builder {
 public:
  // `settle_time` after `started`, gossip about this process has reached all
  // members, and lists contain the settled members from then on.
  // `min_fleet_size` is a lower bound on the number of entries in the fleet,
  // which holds even if fewer are known.
  entry_list_builder(std::string self,
                     milliseconds settle_time,
                     std::size_t min_fleet_size,
                     time_point started);

  // Tells that a process of this instance may have run before this one, and
  // used its part of bounds on retries over windows of `retry_window`.
  void FollowEarlierProcess(milliseconds retry_window);

  // Builds the list for `now`, which must not decrease between calls.
  // `self_ready` tells whether this entry serves callers. `leaving` tells
  // whether it is being stopped; it is then left out of the list.
  boost::intrusive_ptr<const entry_list> Build(
      const std::vector<member>& members,
      const std::vector<region_view>& regions,
      bool self_ready,
      bool leaving,
      time_point now);

 private:
  const std::string self_;
  const time_point settled_at_;
  const time_point started_;
  // When the size of the fleet over the last minute is known, and when this
  // process shares no window of retries with an earlier one.
  time_point fleet_size_known_at_;
  time_point retries_alone_at_;
  const std::size_t min_fleet_size_;
  recent_peak fleet_sizes_;
  recent_peak region_sizes_;
  std::vector<std::string> previous_names_;
  time_point unchanged_since_;
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_ENTRY_LIST_BUILDER_H_
