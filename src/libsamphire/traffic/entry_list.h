#ifndef TRAFFIC_ENTRY_LIST_H_
#define TRAFFIC_ENTRY_LIST_H_

#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// The live entries of this entry's region. Immutable.
struct entry_list
    : public boost::intrusive_ref_counter<entry_list,
                                          boost::thread_safe_counter> {
  std::vector<std::string> names;
  // Of each, in the order of the names.
  std::vector<std::string> failure_domains;
  std::vector<std::string> peer_addresses;
  // Of those that callers may use.
  std::vector<std::string> caller_addresses;
  // Peer addresses of all others that may know something: also of those that
  // leave, and of some in other regions.
  std::vector<std::string> helper_addresses;
  // Those among whom bounds on all entries together are divided: names of this
  // region, and how many in all regions. None until this entry has run for long
  // enough that it knows the others and they know it, since entries that start
  // together each believe at first that they are alone.
  std::vector<std::string> region_sharers;
  std::size_t fleet_sharers = 0;
  // The maximum number of entries over the last minute, in this region and in
  // all regions.
  std::size_t region_peak = 0;
  std::size_t fleet_peak = 0;
  // The last time `names` changed.
  time_point unchanged_since;
  // Peer addresses of some entries of each other region.
  std::map<std::string, std::vector<std::string>> other_regions;
};

}  // namespace samphire

#endif  // TRAFFIC_ENTRY_LIST_H_
