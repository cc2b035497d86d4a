#include "distribution/watcher_choice.h"

#include <xxhash.h>

#include <cstdint>

namespace samphire {

namespace {

std::uint64_t Weight(const std::string& member) {
  return XXH3_64bits(member.data(), member.size());
}

}  // namespace

// Made for 2,800 entries: were each to watch, the platform would count as many
// calls, and its rates grow more slowly than the fleet. By rendezvous a member
// that comes or goes changes one watcher at most.
bool IsWatcher(const std::string& self,
               const std::vector<std::string>& members,
               std::size_t count) {
  std::size_t heavier = 0;
  for (const auto& member : members) {
    if (member != self && Weight(member) > Weight(self))
      ++heavier;
  }
  return heavier < count;
}

}  // namespace samphire
