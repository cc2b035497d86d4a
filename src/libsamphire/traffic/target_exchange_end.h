#ifndef TRAFFIC_TARGET_EXCHANGE_END_H_
#define TRAFFIC_TARGET_EXCHANGE_END_H_

#include <optional>

#include "base/result_code.h"
#include "gateway/held_answer.h"
#include "routing/attempt_end.h"

namespace samphire {

// What came of sending a request to one target.
struct target_exchange_end {
  attempt_end attempt;
  // Why there is no answer; kOk with one.
  result_code reason = result_code::kOk;
  // The request may be running or have run there.
  bool may_have_run = false;
  // A long body was taken from the caller, so it can't be sent again.
  bool body_spent = false;
  // The answer began to stream to the caller: nothing else may be said.
  bool streamed = false;
  // Of the answer that streamed.
  int streamed_status = 0;
  // A whole answer that was not passed on yet.
  std::optional<held_answer> answer;
};

}  // namespace samphire

#endif  // TRAFFIC_TARGET_EXCHANGE_END_H_
