#ifndef DECISION_ATTEMPT_SUMMARY_H_
#define DECISION_ATTEMPT_SUMMARY_H_

#include <cstdint>

#include "base/clock_source.h"
#include "decision/attempt_outcome.h"

namespace samphire {

// The state of a request after one of its attempts has ended; input of
// DecideRetry.
struct attempt_summary {
  attempt_outcome outcome = attempt_outcome::kOk;
  // Attempts made so far, the one that has just ended included.
  std::uint32_t attempts = 1;
  std::uint32_t max_attempts = 1;
  // Whether the request class declares that a request may run more than once.
  bool repeatable = false;
  // Whether any earlier attempt may have run at a target.
  bool may_have_run = false;
  // Whether the retry budget has a token for another attempt.
  bool budget_allows = false;
  time_point deadline;
  // How long another attempt is expected to take.
  duration expected_service{0};
};

}  // namespace samphire

#endif  // DECISION_ATTEMPT_SUMMARY_H_
