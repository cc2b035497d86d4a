#ifndef MEMBERSHIP_MEMBER_STATE_H_
#define MEMBERSHIP_MEMBER_STATE_H_

#include <cstdint>

#include "base/enum_names.h"

namespace samphire {

// Of two states of one process the later in this order counts, unless the
// process itself has spoken since.
enum class member_state : std::uint8_t {
  kAlive,
  // Announced by the member: it finishes what runs and takes nothing new.
  kLeaving,
  // Did not answer; declared dead unless it speaks up.
  kSuspect,
  kDead,
};

inline constexpr enum_names<member_state, 4> kMemberStateNames{{
    {member_state::kAlive, "alive"},
    {member_state::kLeaving, "leaving"},
    {member_state::kSuspect, "suspect"},
    {member_state::kDead, "dead"},
}};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_STATE_H_
