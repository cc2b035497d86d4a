#ifndef MEMBERSHIP_REGION_DIGEST_H_
#define MEMBERSHIP_REGION_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/region_contact.h"

namespace samphire {

// Bounds the contacts that are named for a region.
inline constexpr std::size_t kMaxContacts = 4;

// Summary of a region that is sent to other regions. The order of the fields is
// the order on the wire.
struct region_digest {
  std::string region;
  // Time of day at the entry that wrote it, in milliseconds; the newest digest
  // prevails.
  std::int64_t as_of = 0;
  // Number of alive members, then the sums of their free slots and of their
  // queued requests.
  std::uint16_t entries = 0;
  std::uint32_t free_slots = 0;
  std::uint32_t queued = 0;
  // The highest configuration version that an alive member has in force.
  std::uint64_t config_version = 0;
  // The delegates of the region first, then other members in rotation.
  std::vector<region_contact> contacts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxMemberLocationBytes>(region), as_of, entries,
            free_slots, queued, config_version,
            Bounded<kMaxContacts>(contacts));
  }
};

// Returns the encoded size of `digest` in bytes.
std::size_t WireSize(const region_digest& digest);

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_DIGEST_H_
