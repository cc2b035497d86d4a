#ifndef HISTORY_RUN_OUTCOME_H_
#define HISTORY_RUN_OUTCOME_H_

#include "base/enum_names.h"

namespace samphire {

// How a run at a target ended: with a complete answer, cancelled because the
// caller left or the deadline passed, or aborted by the target itself. The
// names are stored in histories.
enum class run_outcome { kFinished, kCancelled, kAborted };

inline constexpr enum_names<run_outcome, 3> kRunOutcomeNames{{
    {run_outcome::kFinished, "finished"},
    {run_outcome::kCancelled, "cancelled"},
    {run_outcome::kAborted, "cut"},
}};

}  // namespace samphire

#endif  // HISTORY_RUN_OUTCOME_H_
