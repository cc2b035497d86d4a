#ifndef MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
#define MEMBERSHIP_MEMBERSHIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/gossip_block.h"

namespace samphire {

// kProbe: are you there? Answered by kProbeAck with the same id.
struct probe_message {
  std::uint64_t id = 0;
  gossip_block gossip;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, gossip);
  }
};

// kProbeRequest: probe this address for me, and pass its ack on.
struct probe_request_message {
  std::uint64_t id = 0;
  std::string address;
  gossip_block gossip;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxAddress>(address), gossip);
  }
};

// kJoin: here I am; tell me of the others.
struct join_message {
  member self;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(self);
  }
};

// One member in a kSyncAsk: who, and a checksum of what is known.
struct member_stamp {
  std::uint32_t name_id = 0;
  std::uint32_t checksum = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name_id, checksum);
  }
};

inline constexpr std::size_t kMaxStamps = 120;

// One region in a kSyncAsk: how new what is known of it is.
struct region_stamp {
  std::string region;
  std::int64_t as_of = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxPlaceName>(region), as_of);
  }
};

inline constexpr std::size_t kMaxRegionStamps = 4;

// kSyncAsk: what do you know of the names from `first` to `last` that these
// stamps lack? Answered by kGossip.
struct sync_ask_message {
  std::uint32_t first = 0;
  std::uint32_t last = UINT32_MAX;
  // 1: and tell me of all regions.
  std::uint8_t want_regions = 0;
  std::vector<member_stamp> stamps;
  // Do you know anything newer of these?
  std::vector<region_stamp> stale;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(first, last, want_regions, Bounded<kMaxStamps>(stamps),
            Bounded<kMaxRegionStamps>(stale));
  }
};

// kGossip: members in full. kRegionDigest: regions.
struct records_message {
  std::vector<member> members;
  std::vector<region_digest> regions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxGossipItems>(members),
            Bounded<kMaxGossipRegions>(regions));
  }
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
