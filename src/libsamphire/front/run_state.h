#ifndef FRONT_RUN_STATE_H_
#define FRONT_RUN_STATE_H_

#include "base/enum_names.h"

namespace samphire {

// What the caller is told of its request. kNotRun is a promise: no target has
// run it and none will.
enum class run_state { kRan, kNotRun, kUnknown };

inline constexpr enum_names<run_state, 3> kRunStateNames{{
    {run_state::kRan, "ran"},
    {run_state::kNotRun, "not-run"},
    {run_state::kUnknown, "unknown"},
}};

}  // namespace samphire

#endif  // FRONT_RUN_STATE_H_
