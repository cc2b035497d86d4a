#include "membership/member_digest.h"

#include <xxhash.h>

namespace samphire {

// If two processes had the same number, the load of one would be taken for the
// load of the other at times. With a few hundred members in a region the
// probability of that is one in a hundred thousand, and only a hint would be
// wrong.
std::uint32_t ProcessId(std::string_view name, std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(name.data(), name.size(), incarnation));
}

std::size_t WireSize(const member_digest& digest) {
  // Process, sequence, configuration version, watching, number of loads.
  constexpr std::size_t kFixed = 4 + 4 + 8 + 1 + 1;
  constexpr std::size_t kPerService = 8;
  return kFixed + kPerService * digest.loads.size();
}

}  // namespace samphire
