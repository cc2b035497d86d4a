#ifndef MEMBERSHIP_MEMBERSHIP_MESSAGE_H_
#define MEMBERSHIP_MEMBERSHIP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/gossip_block.h"

namespace samphire {

// The id of a probe to which no response is needed, and of an ack that answers
// no probe: both only carry news.
inline constexpr std::uint64_t kNoProbe = 0;

// kProbe: checks that the receiver is alive, which responds with a kProbeAck of
// the same id.
struct probe_message {
  std::uint64_t id = 0;
  gossip_block gossip;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, gossip);
  }
};

// kProbeRequest: asks the receiver to probe `address` on behalf of the sender
// and to forward the ack (indirect probe).
struct probe_request_message {
  std::uint64_t id = 0;
  std::string address;
  gossip_block gossip;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, Bounded<kMaxAddressBytes>(address), gossip);
  }
};

// kJoin: announces the sender and requests the records of the other members. A
// receiver in another region responds with digests of regions only.
struct join_message {
  member self;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(self);
  }
};

// One member in a kSyncRequest: a hash of its name, and a checksum of what the
// sender knows of it.
struct member_checksum {
  std::uint32_t name_id = 0;
  std::uint32_t checksum = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name_id, checksum);
  }
};

// Bounds the member checksums in one kSyncRequest, 8 bytes each.
inline constexpr std::size_t kMaxMemberChecksums = 120;

// One region in a kSyncRequest: the time of day, in milliseconds, of the newest
// digest that the sender has of it.
struct region_version {
  std::string region;
  std::int64_t as_of = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMemberLocationBytes>(region), as_of);
  }
};

// Bounds the region versions in one kSyncRequest.
inline constexpr std::size_t kMaxRegionVersions = 4;

// kSyncRequest: requests the records of all members whose name hash is from
// `first_name_id` to `last_name_id` and whose checksum is missing from
// `checksums` or differs. The response is kGossip for members and kRegionDigest
// for regions. An empty range
// (`first_name_id` above `last_name_id`) requests no members.
struct sync_request_message {
  std::uint32_t first_name_id = 0;
  std::uint32_t last_name_id = UINT32_MAX;
  // 1: requests the digests of all regions as well.
  std::uint8_t want_regions = 0;
  std::vector<member_checksum> checksums;
  // Requests newer digests of these regions, if the receiver has any.
  std::vector<region_version> stale_regions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(first_name_id, last_name_id, want_regions,
            Bounded<kMaxMemberChecksums>(checksums),
            Bounded<kMaxRegionVersions>(stale_regions));
  }
};

// kGossip: complete records of members. kRegionDigest: digests of regions.
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
