#ifndef STORE_INSTANCE_STATE_H_
#define STORE_INSTANCE_STATE_H_

#include "base/enum_names.h"

namespace samphire {

// State of an instance in the platform's list: running, about to stop, or
// stopped.
enum class instance_state { kLive, kLeaving, kGone };

// Names of the states in the platform's protocol.
inline constexpr enum_names<instance_state, 3> kInstanceStateNames{{
    {instance_state::kLive, "live"},
    {instance_state::kLeaving, "leaving"},
    {instance_state::kGone, "gone"},
}};

}  // namespace samphire

#endif  // STORE_INSTANCE_STATE_H_
