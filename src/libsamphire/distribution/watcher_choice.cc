#include "distribution/watcher_choice.h"

#include <xxhash.h>

#include <cstdint>

namespace samphire {

namespace {

std::uint64_t RendezvousWeight(const std::string& member) {
  return XXH3_64bits(member.data(), member.size());
}

}  // namespace

// Designed for 2,800 entries: if each of them watched, the platform would
// receive as many calls, and its call rates grow more slowly than the fleet.
// With rendezvous hashing, a member that joins or leaves changes at most one
// watcher.
bool IsWatcher(const std::string& self,
               const std::vector<std::string>& members,
               std::size_t count) {
  std::size_t higher_weights = 0;
  for (const auto& member : members) {
    if (member != self && RendezvousWeight(member) > RendezvousWeight(self))
      ++higher_weights;
  }
  return higher_weights < count;
}

}  // namespace samphire
