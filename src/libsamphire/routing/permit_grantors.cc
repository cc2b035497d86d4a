#include "routing/permit_grantors.h"

#include <cstdint>

#include "membership/rendezvous.h"
#include "routing/target_rank.h"

namespace samphire {

permit_grantors ChooseGrantors(std::string_view subject,
                               const std::vector<std::string>& entries) {
  const auto hash = KeyHash(subject);
  permit_grantors chosen;
  std::uint64_t owner_weight = 0;
  std::uint64_t backup_weight = 0;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto weight = RendezvousWeight(hash, entries[i]);
    if (!chosen.owner || weight > owner_weight) {
      chosen.backup = chosen.owner;
      backup_weight = owner_weight;
      chosen.owner = i;
      owner_weight = weight;
    } else if (!chosen.backup || weight > backup_weight) {
      chosen.backup = i;
      backup_weight = weight;
    }
  }
  return chosen;
}

}  // namespace samphire
