#include "decision/retry_policy.h"

namespace samphire {

namespace {

// What all attempts together prove: one that may have run can't be made unrun
// by a later one that was refused.
run_state RunOfAll(const attempt_summary& attempt) {
  const run_state last = RunStateOf(attempt.outcome);
  if (last == run_state::kNotRun && attempt.may_have_run)
    return run_state::kUnknown;
  return last;
}

bool MayRunAgain(const attempt_summary& attempt) {
  if (attempt.repeatable)
    return true;
  // A gate acknowledgement is tried again only on proof that it did not run.
  return RunOfAll(attempt) == run_state::kNotRun;
}

bool IsWorthRetrying(attempt_outcome outcome) {
  return outcome != attempt_outcome::kOk &&
         outcome != attempt_outcome::kCancelled &&
         // Timed out means that the request's own time is over.
         outcome != attempt_outcome::kTimedOut;
}

}  // namespace

result_code CodeOf(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kOk:
    // The target's own answer is passed on as it is, also when it tells of an
    // error: only the target can say what it means.
    case attempt_outcome::kTargetError:
      return result_code::kOk;
    case attempt_outcome::kTargetShed:
      return result_code::kTargetShedding;
    case attempt_outcome::kConnectFailed:
      return result_code::kTargetUnreachable;
    case attempt_outcome::kTimedOut:
      return result_code::kDeadlineExceeded;
    case attempt_outcome::kTruncated:
      return result_code::kAnswerTruncated;
    case attempt_outcome::kLost:
      return result_code::kTargetFailed;
    case attempt_outcome::kCancelled:
      return result_code::kCallerGone;
  }
  return result_code::kTargetFailed;
}

// Made for single targets that fail, shed or vanish. The bounds keep a fault of
// many targets from becoming a storm: attempts, budget, and the time left,
// since an attempt that can't end in time only takes a slot from one that can.
retry_decision DecideRetry(const attempt_summary& attempt, time_point now) {
  const result_code code = CodeOf(attempt.outcome);
  const final_result give_up{code, RunOfAll(attempt)};
  if (!IsWorthRetrying(attempt.outcome) || !MayRunAgain(attempt) ||
      attempt.attempts >= attempt.max_attempts)
    return give_up;
  if (now + attempt.expected_service >= attempt.deadline)
    return give_up;
  if (!attempt.budget_allows) {
    // An answer that the target gave is better than word of a budget.
    if (attempt.outcome == attempt_outcome::kTargetError)
      return give_up;
    return final_result{result_code::kRetryBudgetSpent, give_up.run};
  }
  return retry_elsewhere{attempt.outcome == attempt_outcome::kTargetError
                             ? result_code::kTargetFailed
                             : code};
}

}  // namespace samphire
