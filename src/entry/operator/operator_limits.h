#ifndef ENTRY_OPERATOR_OPERATOR_LIMITS_H_
#define ENTRY_OPERATOR_OPERATOR_LIMITS_H_

#include <cstddef>

#include "base/clock_source.h"
#include "config/json_text.h"

namespace samphire {

// What one operator call may cost.
struct operator_limits {
  std::size_t max_body_bytes = kMaxJsonBytes;
  // From the head of a call to the end of its body.
  milliseconds body_timeout{10'000};
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_LIMITS_H_
