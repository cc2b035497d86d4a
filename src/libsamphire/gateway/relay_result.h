#ifndef GATEWAY_RELAY_RESULT_H_
#define GATEWAY_RELAY_RESULT_H_

#include <cstdint>
#include <optional>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "decision/attempt_outcome.h"
#include "gateway/buffered_response.h"

namespace samphire {

// How one exchange with a target or peer ended.
struct relay_result {
  attempt_outcome outcome = attempt_outcome::kOk;
  // Set for a complete short response, which has not been sent to the caller
  // yet.
  std::optional<buffered_response> response;
  // Whether the head was sent to the caller, so that no other response is
  // possible.
  bool relayed = false;
  // Whether the request was lost on a reused connection that the other side may
  // have closed before. It may have run all the same.
  bool may_have_been_stale = false;
  // HTTP status; 0 if no head was received.
  int status = 0;
  // Time that the target took, without the time that the caller took to read.
  duration target_time{0};
};

}  // namespace samphire

#endif  // GATEWAY_RELAY_RESULT_H_
