#ifndef DECISION_RETRY_DECISION_H_
#define DECISION_RETRY_DECISION_H_

#include <variant>

#include "base/result_code.h"
#include "decision/run_state.h"

namespace samphire {

// Decision to make another attempt, outside the failure domains tried so far.
struct retry_elsewhere {
  // Why the last attempt has to be repeated.
  result_code reason = result_code::kOk;
};

// Decision to give the caller its final result.
struct final_result {
  result_code code = result_code::kOk;
  // Whether the request has run at any target.
  run_state run = run_state::kUnknown;
};

// Result of DecideRetry.
using retry_decision = std::variant<retry_elsewhere, final_result>;

}  // namespace samphire

#endif  // DECISION_RETRY_DECISION_H_
