#ifndef ROUTING_PLACEMENT_RESULT_H_
#define ROUTING_PLACEMENT_RESULT_H_

#include <cstddef>
#include <optional>
#include <variant>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "routing/live_target.h"

namespace samphire {

// The target chosen for an attempt. The attempt counts as load on the target
// until its end is reported to the service_tracker that placed it.
struct placed_attempt {
  live_target target;
  // Whether the target has recently responded to a request for the key that the
  // placing entry sent, so that the key's data is probably in its memory.
  bool knows_key = false;
  // The estimated number of requests running or queued at the target before
  // this attempt.
  double load_before = 0;
  // The age of the target's last load report; nothing if there was none.
  std::optional<milliseconds> load_age;
};

// No target is expected to respond in time.
struct placement_refusal {
  result_code reason = result_code::kNoTargetAvailable;
  // The time after which capacity is expected to be free.
  milliseconds retry_after{0};
  // The number of targets considered, and the shortest expected queue wait
  // among them.
  std::size_t candidates = 0;
  milliseconds wait{0};
};

using placement_result = std::variant<placed_attempt, placement_refusal>;

}  // namespace samphire

#endif  // ROUTING_PLACEMENT_RESULT_H_
