#include "membership/member_digest.h"

#include <xxhash.h>

namespace samphire {

// Two processes with one number would be taken for busier or freer than they
// are, now and then; with a few hundred in a region that is a chance of one
// in a hundred thousand, and only a hint is wrong.
std::uint32_t ProcessId(std::string_view name, std::uint64_t incarnation) {
  return static_cast<std::uint32_t>(
      XXH3_64bits_withSeed(name.data(), name.size(), incarnation));
}

std::size_t WireSize(const member_digest& digest) {
  constexpr std::size_t kFixed = 4 + 4 + 8 + 1 + 1;
  constexpr std::size_t kPerService = 8;
  return kFixed + kPerService * digest.loads.size();
}

}  // namespace samphire
