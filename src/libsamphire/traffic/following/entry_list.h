#ifndef TRAFFIC_FOLLOWING_ENTRY_LIST_H_
#define TRAFFIC_FOLLOWING_ENTRY_LIST_H_

#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "routing/retry_share.h"
#include "traffic/following/listed_entry.h"

namespace samphire {

// The live entries of this entry's region, as derived from membership, and what
// this entry knows about the rest of the fleet. Immutable once published; each
// change of membership produces a new list.
struct entry_list
    : public boost::intrusive_ref_counter<entry_list,
                                          boost::thread_safe_counter> {
  // Entries of this region that are alive or suspected, including this one
  // unless it is leaving.
  std::vector<std::string> names;
  // Parallel to `names`.
  std::vector<std::string> failure_domains;
  std::vector<std::string> peer_addresses;
  // The entries that look-ups name.
  std::vector<listed_entry> listed;
  // Peer addresses from which this entry may fetch the last known objects when
  // it starts while the platform is unreachable. Includes entries that are
  // leaving and some entries of other regions; excludes this entry.
  std::vector<std::string> bootstrap_addresses;
  // The members among which limits that hold for all entries together are
  // divided: the names in this region, and `fleet_peak` for all regions. Empty
  // and 0 until this entry has run for `traffic_settings::settle_time`, so that
  // it knows the others and they know it. Entries that start at the same time
  // would otherwise each assume to be alone and use the whole limit.
  std::vector<std::string> settled_region_members;
  std::size_t settled_fleet_size = 0;
  // This entry's part of the bounds on retries.
  retry_share retries;
  // The maximum number of entries over the last minute, in this region and in
  // all regions. The latter is at least `traffic_settings::min_fleet_size`.
  std::size_t region_peak = 0;
  std::size_t fleet_peak = 0;
  // The last time `names` changed.
  time_point unchanged_since;
  // Peer addresses of some entries of each other region, by region.
  std::map<std::string, std::vector<std::string>> other_regions;

  // Whether this entry knows other entries of its region and reaches none.
  bool is_alone = false;

  // Whether this entry knows no other entries although the fleet has some, as
  // after a start while it is cut off. Such an entry does not know the size of
  // its region, so it must not grant permits as the owner.
  bool IsIsolated(std::size_t min_fleet_size) const {
    return names.size() <= 1 && other_regions.empty() && min_fleet_size > 1;
  }
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_ENTRY_LIST_H_
