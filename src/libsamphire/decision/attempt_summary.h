#ifndef DECISION_ATTEMPT_SUMMARY_H_
#define DECISION_ATTEMPT_SUMMARY_H_

#include <cstdint>

#include "base/clock_source.h"
#include "decision/attempt_outcome.h"

namespace samphire {

// What is known of a request after an attempt of it has ended.
struct attempt_summary {
  attempt_outcome outcome = attempt_outcome::kOk;
  std::uint32_t attempts = 1;
  std::uint32_t max_attempts = 1;
  bool repeatable = false;
  // Whether any earlier attempt may have run.
  bool may_have_run = false;
  bool budget_allows = false;
  time_point deadline;
  duration expected_service{0};
};

}  // namespace samphire

#endif  // DECISION_ATTEMPT_SUMMARY_H_
