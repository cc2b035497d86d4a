#ifndef STORE_INSTANCE_STATE_H_
#define STORE_INSTANCE_STATE_H_

#include "base/enum_names.h"

namespace samphire {

enum class instance_state { kLive, kLeaving, kGone };

inline constexpr enum_names<instance_state, 3> kInstanceStateNames{{
    {instance_state::kLive, "live"},
    {instance_state::kLeaving, "leaving"},
    {instance_state::kGone, "gone"},
}};

}  // namespace samphire

#endif  // STORE_INSTANCE_STATE_H_
