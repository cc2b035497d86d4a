#ifndef EXPERIMENT_REPEAT_DECISION_H_
#define EXPERIMENT_REPEAT_DECISION_H_

#include <optional>

#include "base/clock_source.h"
#include "history/request_answered.h"

namespace samphire {

// What a caller knows when it decides whether to send a request once more.
struct repeat_view {
  request_answered answer{};
  // The request carries an idempotency key, so that a repeat is safe.
  bool keyed = false;
  bool more_attempts = false;
  duration left{0};
  duration longest_wait{0};
};

// How long the caller waits before it sends the request again; nothing when
// this answer is final for it.
std::optional<duration> DecideRepeat(const repeat_view& view);

}  // namespace samphire

#endif  // EXPERIMENT_REPEAT_DECISION_H_
