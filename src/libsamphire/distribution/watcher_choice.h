#ifndef DISTRIBUTION_WATCHER_CHOICE_H_
#define DISTRIBUTION_WATCHER_CHOICE_H_

#include <string>
#include <vector>

namespace samphire {

inline constexpr std::size_t kWatchersPerRegion = 3;

// Whether `self` is among the `count` of a region's members that hold the
// watch. Members that agree on who is alive agree on who watches; while they
// don't, there are a few watchers more or less for a moment.
bool IsWatcher(const std::string& self,
               const std::vector<std::string>& members,
               std::size_t count = kWatchersPerRegion);

}  // namespace samphire

#endif  // DISTRIBUTION_WATCHER_CHOICE_H_
