#ifndef MEMBERSHIP_GOSSIP_BLOCK_H_
#define MEMBERSHIP_GOSSIP_BLOCK_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/member.h"
#include "membership/member_digest.h"
#include "membership/member_update.h"
#include "membership/region_digest.h"

namespace samphire {

// Bounds each list of members, updates or digests in a decoded message.
inline constexpr std::size_t kMaxGossipItems = 64;
// Bounds the region digests in a decoded message.
inline constexpr std::size_t kMaxGossipRegions = 8;

// The gossip that every probe, ack and probe request carries besides its own
// purpose: the state of its sender, and updates on other members and regions.
struct gossip_block {
  // Number of suspicions that the sender has refuted. The envelope carries its
  // name and incarnation.
  std::uint32_t refutation = 0;
  member_state state = member_state::kAlive;
  // Digest of the configuration that the sender has in force; 0 if unknown.
  std::uint64_t config_digest = 0;
  member_digest self;
  // Checksum over all members that the sender has not declared dead.
  std::uint64_t table_checksum = 0;
  // Number of other regions that the sender knows, at most 255.
  std::uint8_t regions_known = 0;

  // State changes of members whose records the receiver is expected to have.
  std::vector<member_update> updates;
  // Complete records of members that are new or have restarted.
  std::vector<member> records;
  // Loads of other members.
  std::vector<member_digest> digests;
  // Summaries of other regions.
  std::vector<region_digest> regions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(refutation);
    SerializeEnum<member_state::kDead>(archive, state);
    archive(
        config_digest, self, table_checksum, regions_known,
        Bounded<kMaxGossipItems>(updates), Bounded<kMaxGossipItems>(records),
        Bounded<kMaxGossipItems>(digests), Bounded<kMaxGossipRegions>(regions));
  }
};

}  // namespace samphire

#endif  // MEMBERSHIP_GOSSIP_BLOCK_H_
