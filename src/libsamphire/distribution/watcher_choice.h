#ifndef DISTRIBUTION_WATCHER_CHOICE_H_
#define DISTRIBUTION_WATCHER_CHOICE_H_

#include <string>
#include <vector>

namespace samphire {

// Number of entries of each region that watch the platform.
inline constexpr std::size_t kWatchersPerRegion = 3;

// Returns whether `self`, which counts as a member even if `members` lacks it,
// is among the `count` members of a region that watch the platform. Members
// with the same view of who is alive agree on the watchers; while their views
// differ, there are temporarily a few watchers more or less.
bool IsWatcher(const std::string& self,
               const std::vector<std::string>& members,
               std::size_t count = kWatchersPerRegion);

}  // namespace samphire

#endif  // DISTRIBUTION_WATCHER_CHOICE_H_
