#include "decision/retry_policy.h"

namespace samphire {

namespace {

// Returns what all attempts together prove: if an earlier attempt may have run,
// a later one that was refused doesn't change that.
run_state CombinedRunState(const attempt_summary& attempt) {
  const run_state last = RunStateOf(attempt.outcome);
  if (last == run_state::kNotRun && attempt.may_have_run)
    return run_state::kUnknown;
  return last;
}

bool MayRunAgain(const attempt_summary& attempt) {
  if (attempt.repeatable)
    return true;
  // A request that must not run twice, such as a gate acknowledgement, is
  // retried only on proof that it did not run.
  return CombinedRunState(attempt) == run_state::kNotRun;
}

bool IsRetryable(attempt_outcome outcome) {
  return outcome != attempt_outcome::kOk &&
         outcome != attempt_outcome::kCancelled &&
         // A time-out means that the request's own time is over.
         outcome != attempt_outcome::kTimedOut;
}

}  // namespace

result_code CodeOf(attempt_outcome outcome) {
  switch (outcome) {
    case attempt_outcome::kOk:
    // The target's own response is passed on unchanged, also when it reports an
    // error: only the target knows what it means.
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

// Handles single targets that fail, shed load or disappear. Three bounds
// prevent a retry storm when many targets fail: the number of attempts, the
// retry budget, and the time left, since an attempt that can't end before the
// deadline only takes a slot from one that can.
retry_decision DecideRetry(const attempt_summary& attempt, time_point now) {
  const result_code code = CodeOf(attempt.outcome);
  const final_result final_answer{code, CombinedRunState(attempt)};
  if (!IsRetryable(attempt.outcome) || !MayRunAgain(attempt) ||
      attempt.attempts >= attempt.max_attempts)
    return final_answer;
  if (now + attempt.expected_service >= attempt.deadline)
    return final_answer;
  if (!attempt.budget_allows) {
    // The error response that the target gave is more useful to the caller than
    // the information that the retry budget is spent.
    if (attempt.outcome == attempt_outcome::kTargetError)
      return final_answer;
    return final_result{result_code::kRetryBudgetSpent, final_answer.run};
  }
  return retry_elsewhere{attempt.outcome == attempt_outcome::kTargetError
                             ? result_code::kTargetFailed
                             : code};
}

}  // namespace samphire
