#ifndef MEMBERSHIP_MEMBER_STATE_H_
#define MEMBERSHIP_MEMBER_STATE_H_

#include <cstdint>

#include "base/enum_names.h"

namespace samphire {

// State of a member. The numbers are sent on the wire.
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

// Of two states reported for one process the one of higher precedence prevails,
// unless the process itself has refuted it since.
constexpr int Precedence(member_state state) {
  switch (state) {
    case member_state::kAlive:
      return 0;
    case member_state::kSuspect:
      return 1;
    // What a member has announced of itself. A leaving member that has ended no
    // longer answers probes; if the suspicion prevailed, it would be taken for
    // a member that may still serve.
    case member_state::kLeaving:
      return 2;
    case member_state::kDead:
      return 3;
  }
  return 0;
}

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_STATE_H_
