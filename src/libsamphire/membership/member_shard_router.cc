#include "membership/member_shard_router.h"

#include <fmt/format.h>

namespace samphire {

// Each region has a leader of its own: a message to another region would take
// longer than the platform's call that it saves.
std::string member_shard_router::LeaderOf(std::uint32_t shard) const {
  return membership_.HolderOf(fmt::format("ledger/{}", shard));
}

}  // namespace samphire
