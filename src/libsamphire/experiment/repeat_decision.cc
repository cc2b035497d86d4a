#include "experiment/repeat_decision.h"

#include <algorithm>

namespace samphire {

std::optional<duration> DecideRepeat(const repeat_view& view) {
  if (!view.more_attempts || view.answer.body == answer_body::kWhole)
    return std::nullopt;
  const auto& answer = view.answer;
  // Without an answer the caller goes to the next entry at once: the load of a
  // fleet that lost one entry is spread over the others. A read may be
  // repeated, and a keyed request runs once whoever asks.
  if (answer.body == answer_body::kUnconnected ||
      answer.body == answer_body::kLost ||
      answer.body == answer_body::kTruncated)
    return view.left > duration(0) ? std::optional(duration(0)) : std::nullopt;
  // A refusal without a time to come back is final.
  if (answer.retry_after_s < 0)
    return std::nullopt;
  // Obeying the refusal keeps callers from hammering an overloaded region; the
  // bound keeps one odd answer from parking a caller past all use.
  const duration wait = std::min<duration>(
      std::chrono::seconds(answer.retry_after_s), view.longest_wait);
  if (wait >= view.left)
    return std::nullopt;
  return wait;
}

}  // namespace samphire
