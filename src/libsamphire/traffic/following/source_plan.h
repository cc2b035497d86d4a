#ifndef TRAFFIC_FOLLOWING_SOURCE_PLAN_H_
#define TRAFFIC_FOLLOWING_SOURCE_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "routing/entry_location.h"
#include "traffic/following/entry_list.h"
#include "traffic/following/source_role.h"

namespace samphire {

// The peers that an entry queries for changes of the platform's objects.
struct source_plan {
  source_role role = source_role::kWatcher;
  // Peer addresses in the order in which to query them. They do not include
  // this entry; both lists are empty for a watcher.
  std::vector<std::string> watchers;
  std::vector<std::string> backups;
  // Peers to query while the platform fails, for a watcher or backup: those
  // that watch the platform in its place.
  std::vector<std::string> substitutes;
};

// Assigns roles by rendezvous hashing. All entries of a region that know the
// same members choose the same watchers and backups; an entry in an empty
// region is a watcher.
source_plan PlanSources(const entry_location& self, const entry_list& entries);

// Returns up to two of `backups` to query next. `stale_rounds` is the number of
// preceding rounds in which peers had no fresh copy; successive rounds cycle
// through all backups.
std::vector<std::string> BackupsToQuery(const std::vector<std::string>& backups,
                                        std::size_t stale_rounds);

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_SOURCE_PLAN_H_
