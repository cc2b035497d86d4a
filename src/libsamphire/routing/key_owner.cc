#include "routing/key_owner.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace samphire {

namespace {

// Up to this number of entries, each one sends enough requests to every target
// to know its state, so placement by a key owner would only add messages and
// latency.
constexpr std::size_t kMaxEntriesWithoutOwner = 6;

}  // namespace

std::optional<std::size_t> KeyOwner(std::uint64_t key_hash,
                                    const std::vector<std::string>& entries) {
  if (entries.size() <= kMaxEntriesWithoutOwner)
    return std::nullopt;
  const auto owner =
      std::ranges::max_element(entries, {}, [key_hash](const auto& entry) {
        return RendezvousWeight(key_hash, entry);
      });
  return static_cast<std::size_t>(owner - entries.begin());
}

}  // namespace samphire
