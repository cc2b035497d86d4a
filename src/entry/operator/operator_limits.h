#ifndef ENTRY_OPERATOR_OPERATOR_LIMITS_H_
#define ENTRY_OPERATOR_OPERATOR_LIMITS_H_

#include <cstddef>

#include "base/clock_source.h"
#include "config/json_text.h"

namespace samphire {

// Bounds on one call of an operator, so that a stalled or oversized call cannot
// occupy a server thread.
struct operator_limits {
  // A longer body is refused with kBodyTooLarge.
  std::size_t max_body_bytes = kMaxJsonBytes;
  // Time from the end of the request head to the end of the body; a slower body
  // is refused with kRequestTooSlow.
  milliseconds body_timeout{10'000};
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_LIMITS_H_
