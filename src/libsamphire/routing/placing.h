#ifndef ROUTING_PLACING_H_
#define ROUTING_PLACING_H_

#include <cstddef>
#include <optional>
#include <variant>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "routing/live_target.h"

namespace samphire {

// A place for an attempt. It counts as work there until it is reported done.
struct placed_attempt {
  live_target target;
  // The target has handled the key for this entry lately.
  bool knows_key = false;
  // Work that was there, running or waiting, before this attempt.
  double load_before = 0;
  // Since the target last told its load; nothing if it never did.
  std::optional<milliseconds> load_age;
};

// No target would answer in time.
struct placing_refusal {
  result_code reason = result_code::kNoTargetAvailable;
  // When there may be room.
  milliseconds retry_after{0};
  // Targets that were looked at, and the least time to wait at one of them.
  std::size_t candidates = 0;
  milliseconds wait{0};
};

using placing = std::variant<placed_attempt, placing_refusal>;

}  // namespace samphire

#endif  // ROUTING_PLACING_H_
