#include "membership/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace samphire {

std::uint64_t RendezvousWeight(std::uint64_t role_hash, std::string_view name) {
  return XXH3_64bits_withSeed(name.data(), name.size(), role_hash);
}

std::uint64_t RendezvousWeight(std::string_view role, std::string_view name) {
  return RendezvousWeight(XXH3_64bits(role.data(), role.size()), name);
}

std::vector<std::string> PickByRendezvous(std::string_view role,
                                          std::vector<std::string> names,
                                          std::size_t count) {
  std::ranges::sort(names, [role](const auto& left, const auto& right) {
    return std::pair(RendezvousWeight(role, right), right) <
           std::pair(RendezvousWeight(role, left), left);
  });
  names.resize(std::min(count, names.size()));
  return names;
}

}  // namespace samphire
