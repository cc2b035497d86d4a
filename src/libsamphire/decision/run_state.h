#ifndef DECISION_RUN_STATE_H_
#define DECISION_RUN_STATE_H_

#include "base/enum_names.h"
#include "decision/attempt_outcome.h"

namespace samphire {

// Whether a request has run at a target.
enum class run_state { kNotRun, kUnknown, kRan };

inline constexpr enum_names<run_state, 3> kRunStateNames{{
    {run_state::kNotRun, "not-run"},
    {run_state::kUnknown, "unknown"},
    {run_state::kRan, "ran"},
}};

// Returns what the outcome of one attempt proves. Only a refusal by the target
// itself, or a connection that was never established, proves that the request
// did not run.
constexpr run_state RunStateOf(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kTargetShed:
    case attempt_outcome::kConnectFailed:
      return run_state::kNotRun;
    case attempt_outcome::kOk:
    case attempt_outcome::kTargetError:
      return run_state::kRan;
    case attempt_outcome::kTruncated:
    case attempt_outcome::kTimedOut:
    case attempt_outcome::kLost:
    case attempt_outcome::kCancelled:
      return run_state::kUnknown;
  }
  return run_state::kUnknown;
}

}  // namespace samphire

#endif  // DECISION_RUN_STATE_H_
