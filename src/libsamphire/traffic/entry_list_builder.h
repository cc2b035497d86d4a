#ifndef TRAFFIC_ENTRY_LIST_BUILDER_H_
#define TRAFFIC_ENTRY_LIST_BUILDER_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "membership/member.h"
#include "membership/region_view.h"
#include "routing/recent_peak.h"
#include "traffic/entry_list.h"

namespace samphire {

// Draws from membership which entries callers may use, and what this entry may
// assume of the others. Knows no sockets and no clock. Not thread-safe.
class entry_list_builder {
 public:
  // `settle_time` from `started`, news of a new process has reached all.
  // `least_fleet`: there are at least so many entries, seen or not.
  entry_list_builder(std::string self,
                     milliseconds settle_time,
                     std::size_t least_fleet,
                     time_point started);

  // `self_ready`: this entry serves callers. `leaving`: it is being stopped.
  boost::intrusive_ptr<const entry_list> Build(
      const std::vector<member>& members,
      const std::vector<region_view>& regions,
      bool self_ready,
      bool leaving,
      time_point now);

 private:
  const std::string self_;
  const time_point settled_at_;
  const std::size_t least_fleet_;
  recent_peak fleet_sizes_;
  recent_peak region_sizes_;
  std::vector<std::string> previous_names_;
  time_point unchanged_since_;
};

}  // namespace samphire

#endif  // TRAFFIC_ENTRY_LIST_BUILDER_H_
