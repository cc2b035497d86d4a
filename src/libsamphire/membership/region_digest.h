#ifndef MEMBERSHIP_REGION_DIGEST_H_
#define MEMBERSHIP_REGION_DIGEST_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/bounded_codec.h"
#include "membership/region_contact.h"

namespace samphire {

inline constexpr std::size_t kMaxContacts = 4;

// What other regions know of a region.
struct region_digest {
  std::string region;
  // Time of day at the one who wrote it, in milliseconds: the newest counts.
  std::int64_t as_of = 0;
  std::uint16_t entries = 0;
  std::uint32_t free_slots = 0;
  std::uint32_t queued = 0;
  // The highest that an entry there has in force.
  std::uint64_t config_version = 0;
  std::vector<region_contact> contacts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(Bounded<kMaxPlaceName>(region), as_of, entries, free_slots, queued,
            config_version, Bounded<kMaxContacts>(contacts));
  }
};

std::size_t WireSize(const region_digest& digest);

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_DIGEST_H_
