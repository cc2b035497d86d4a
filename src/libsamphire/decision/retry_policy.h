#ifndef DECISION_RETRY_POLICY_H_
#define DECISION_RETRY_POLICY_H_

#include "decision/attempt_summary.h"
#include "decision/retry_decision.h"

namespace samphire {

// The code under which an attempt that ended so is told and counted.
result_code CodeOf(attempt_outcome outcome);

// Whether a request whose attempt has ended is tried again.
retry_decision DecideRetry(const attempt_summary& attempt, time_point now);

}  // namespace samphire

#endif  // DECISION_RETRY_POLICY_H_
