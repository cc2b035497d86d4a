#ifndef DECISION_RETRY_POLICY_H_
#define DECISION_RETRY_POLICY_H_

#include "decision/attempt_summary.h"
#include "decision/retry_decision.h"

namespace samphire {

// Returns the result code under which an attempt with this outcome is reported
// and counted.
result_code CodeOf(attempt_outcome outcome);

// Decides whether a request whose attempt has ended at `now` is attempted
// again.
retry_decision DecideRetry(const attempt_summary& attempt, time_point now);

}  // namespace samphire

#endif  // DECISION_RETRY_POLICY_H_
