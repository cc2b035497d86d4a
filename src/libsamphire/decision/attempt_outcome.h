#ifndef DECISION_ATTEMPT_OUTCOME_H_
#define DECISION_ATTEMPT_OUTCOME_H_

#include "base/enum_names.h"

namespace samphire {

// How one attempt at a target ended.
enum class attempt_outcome {
  kOk,
  // A complete response which reports that the target failed.
  kTargetError,
  // The target refused the request because of its own load; the request did not
  // run.
  kTargetShed,
  kConnectFailed,
  kTimedOut,
  // The response ended before it was complete.
  kTruncated,
  // The connection was closed after the request was sent and before a response.
  kLost,
  // The caller went away before the attempt had ended.
  kCancelled,
};

// Names used in log events.
inline constexpr enum_names<attempt_outcome, 8> kAttemptOutcomeNames{{
    {attempt_outcome::kOk, "ok"},
    {attempt_outcome::kTargetError, "target-error"},
    {attempt_outcome::kTargetShed, "target-shed"},
    {attempt_outcome::kConnectFailed, "connect-failed"},
    {attempt_outcome::kTimedOut, "timed-out"},
    {attempt_outcome::kTruncated, "truncated"},
    {attempt_outcome::kLost, "lost"},
    {attempt_outcome::kCancelled, "cancelled"},
}};

}  // namespace samphire

#endif  // DECISION_ATTEMPT_OUTCOME_H_
