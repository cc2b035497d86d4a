#ifndef MEMBERSHIP_MEMBER_STATE_H_
#define MEMBERSHIP_MEMBER_STATE_H_

#include <cstdint>

#include "base/enum_names.h"

namespace samphire {

// State of a member. Of two states reported for one process the later one in
// this order prevails, unless the process itself has refuted it since. The
// numbers are sent on the wire.
enum class member_state : std::uint8_t {
  kAlive,
  // Announced by the member itself: it finishes running requests and accepts no
  // new ones.
  kLeaving,
  // Did not answer probes; is declared dead unless it refutes the suspicion in
  // time.
  kSuspect,
  // Declared failed: no longer probed and not sent any work.
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
