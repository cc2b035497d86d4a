#ifndef TRAFFIC_FOLLOWING_LISTED_ENTRY_H_
#define TRAFFIC_FOLLOWING_LISTED_ENTRY_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "base/enum_names.h"
#include "membership/member_state.h"

namespace samphire {

// Why look-ups name an entry.
enum class listing_reason : std::uint8_t {
  // It is this entry, which serves callers.
  kSelf,
  // It has announced a configuration, so it can serve callers.
  kReady,
  // No entry is known to be ready; any may have become so since.
  kNoneReady,
};

inline constexpr enum_names<listing_reason, 3> kListingReasonNames{{
    {listing_reason::kSelf, "self"},
    {listing_reason::kReady, "ready"},
    {listing_reason::kNoneReady, "none-ready"},
}};

// An entry that look-ups name, and what this entry knew of it when it decided
// so.
struct listed_entry {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string caller_address;
  member_state state = member_state::kAlive;
  listing_reason reason = listing_reason::kReady;
  // See member::heard_at.
  time_point heard_at;
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_LISTED_ENTRY_H_
