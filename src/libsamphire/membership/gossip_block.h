#ifndef MEMBERSHIP_GOSSIP_BLOCK_H_
#define MEMBERSHIP_GOSSIP_BLOCK_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/member.h"
#include "membership/member_digest.h"
#include "membership/member_rumour.h"
#include "membership/region_digest.h"

namespace samphire {

inline constexpr std::size_t kMaxGossipItems = 64;
inline constexpr std::size_t kMaxGossipRegions = 8;

// What every membership message tells besides its own purpose.
struct gossip_block {
  // Of the sender, whose name and incarnation the envelope carries.
  std::uint32_t refutation = 0;
  member_state state = member_state::kAlive;
  std::uint64_t config_digest = 0;
  member_digest self;
  // Over all members that the sender holds for alive.
  std::uint64_t table_checksum = 0;
  // How many other regions the sender has heard of.
  std::uint8_t regions_known = 0;

  std::vector<member_rumour> rumours;
  std::vector<member> records;
  std::vector<member_digest> digests;
  std::vector<region_digest> regions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(refutation);
    SerializeEnum<member_state::kDead>(archive, state);
    archive(
        config_digest, self, table_checksum, regions_known,
        Bounded<kMaxGossipItems>(rumours), Bounded<kMaxGossipItems>(records),
        Bounded<kMaxGossipItems>(digests), Bounded<kMaxGossipRegions>(regions));
  }
};

}  // namespace samphire

#endif  // MEMBERSHIP_GOSSIP_BLOCK_H_
