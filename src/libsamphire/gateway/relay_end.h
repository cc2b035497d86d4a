#ifndef GATEWAY_RELAY_END_H_
#define GATEWAY_RELAY_END_H_

#include <cstdint>
#include <optional>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "decision/attempt_outcome.h"
#include "gateway/held_answer.h"

namespace samphire {

// How one exchange with a target or peer ended.
struct relay_end {
  attempt_outcome outcome = attempt_outcome::kOk;
  // Set for a whole short answer, which is not passed on yet.
  std::optional<held_answer> answer;
  // The head went out to the caller, so nothing else can be said any more.
  bool relayed = false;
  // A connection that had been idle broke before any byte of an answer, and
  // the request was sent again on a new one.
  bool was_stale = false;
  int status = 0;
  // Without the time that the caller took to read.
  duration target_time{0};
};

}  // namespace samphire

#endif  // GATEWAY_RELAY_END_H_
