#include "membership/member_shard_router.h"

#include <fmt/format.h>

namespace samphire {

// Each region has a leader of its own, since a message to another region would
// take longer than the call to the platform that it saves.
std::string member_shard_router::LeaderOf(std::uint32_t shard) const {
  return membership_.RoleOwnerAddress(fmt::format("ledger/{}", shard));
}

}  // namespace samphire
