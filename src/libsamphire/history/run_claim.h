#ifndef HISTORY_RUN_CLAIM_H_
#define HISTORY_RUN_CLAIM_H_

#include "base/enum_names.h"

namespace samphire {

// What a response says about whether its request ran at a target. kNone: the
// response says nothing. kUnknown: the entry does not know. The names are
// stored in histories.
enum class run_claim { kNone, kRan, kNotRun, kUnknown };

inline constexpr enum_names<run_claim, 4> kRunClaimNames{{
    {run_claim::kNone, "none"},
    {run_claim::kRan, "ran"},
    {run_claim::kNotRun, "not-run"},
    {run_claim::kUnknown, "unknown"},
}};

}  // namespace samphire

#endif  // HISTORY_RUN_CLAIM_H_
