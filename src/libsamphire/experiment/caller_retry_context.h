#ifndef EXPERIMENT_CALLER_RETRY_CONTEXT_H_
#define EXPERIMENT_CALLER_RETRY_CONTEXT_H_

#include <optional>

#include "base/clock_source.h"
#include "history/request_answered.h"

namespace samphire {

// What a caller knows after an attempt when it decides whether to retry.
struct caller_retry_context {
  // Outcome of the latest attempt.
  request_answered answer{};
  // The request carries an idempotency key, which makes a retry safe.
  bool keyed = false;
  // The limit of attempts is not reached.
  bool attempts_remain = false;
  // Time until the deadline of the request.
  duration time_left{0};
  // Upper bound of the wait that a Retry-After header may cause.
  duration max_retry_wait{0};
};

// Returns how long the caller waits before it retries, 0 for at once. Returns
// nothing when the outcome is final: the answer is complete, no attempt or time
// remains, or a refusal, corrupt or abandoned answer names no time to retry.
// Pure; any thread may call it.
std::optional<duration> CallerRetryDelay(const caller_retry_context& context);

}  // namespace samphire

#endif  // EXPERIMENT_CALLER_RETRY_CONTEXT_H_
