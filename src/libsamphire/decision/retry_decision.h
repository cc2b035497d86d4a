#ifndef DECISION_RETRY_DECISION_H_
#define DECISION_RETRY_DECISION_H_

#include <variant>

#include "base/result_code.h"
#include "decision/run_state.h"

namespace samphire {

// Another attempt, away from the failure domains tried so far.
struct retry_elsewhere {
  result_code reason = result_code::kOk;
};

// The caller's final answer.
struct final_result {
  result_code code = result_code::kOk;
  run_state run = run_state::kUnknown;
};

using retry_decision = std::variant<retry_elsewhere, final_result>;

}  // namespace samphire

#endif  // DECISION_RETRY_DECISION_H_
