#include "experiment/caller_retry_context.h"

#include <algorithm>

namespace samphire {

std::optional<duration> CallerRetryDelay(const caller_retry_context& context) {
  if (!context.attempts_remain || context.answer.body == answer_body::kComplete)
    return std::nullopt;
  const auto& answer = context.answer;
  // Without a complete response the caller retries at the next entry at once,
  // which spreads the load of a failed entry over the rest of the fleet. The
  // retry is safe: a read is idempotent, and a request with an idempotency key
  // runs only once, whichever entry receives it.
  if (answer.body == answer_body::kNoConnection ||
      answer.body == answer_body::kLost ||
      answer.body == answer_body::kTruncated)
    return context.time_left > duration(0) ? std::optional(duration(0))
                                           : std::nullopt;
  // A refusal without Retry-After is final.
  if (answer.retry_after_s < 0)
    return std::nullopt;
  // Honouring Retry-After keeps callers from retrying against an overloaded
  // region; the bound keeps one implausible value from blocking a caller for
  // longer than is useful.
  const duration wait = std::min<duration>(
      std::chrono::seconds(answer.retry_after_s), context.max_retry_wait);
  if (wait >= context.time_left)
    return std::nullopt;
  return wait;
}

}  // namespace samphire
