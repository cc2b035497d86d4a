#include "routing/key_owner.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace samphire {

namespace {

// So few each see enough of every target, and asking costs messages and time.
constexpr std::size_t kFewEntries = 6;

}  // namespace

std::optional<std::size_t> KeyOwner(std::uint64_t key_hash,
                                    const std::vector<std::string>& entries) {
  if (entries.size() <= kFewEntries)
    return std::nullopt;
  const auto owner =
      std::ranges::max_element(entries, {}, [key_hash](const auto& entry) {
        return RendezvousWeight(key_hash, entry);
      });
  return static_cast<std::size_t>(owner - entries.begin());
}

}  // namespace samphire
