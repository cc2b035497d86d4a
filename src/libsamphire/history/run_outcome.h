#ifndef HISTORY_RUN_OUTCOME_H_
#define HISTORY_RUN_OUTCOME_H_

#include "base/enum_names.h"

namespace samphire {

// How a run at a target ended: answered whole, given up because the caller
// left or the deadline passed, or broken off by the target itself.
enum class run_outcome { kFinished, kCancelled, kCut };

inline constexpr enum_names<run_outcome, 3> kRunOutcomeNames{{
    {run_outcome::kFinished, "finished"},
    {run_outcome::kCancelled, "cancelled"},
    {run_outcome::kCut, "cut"},
}};

}  // namespace samphire

#endif  // HISTORY_RUN_OUTCOME_H_
