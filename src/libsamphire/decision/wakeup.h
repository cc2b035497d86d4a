#ifndef DECISION_WAKEUP_H_
#define DECISION_WAKEUP_H_

#include <cstdint>
#include <variant>

#include "decision/refusal.h"
#include "decision/slot_grant.h"

namespace samphire {

// Result for a request that had been queued: it starts now, or it is refused.
struct wakeup {
  std::uint64_t request_id = 0;
  std::variant<slot_grant, refusal> result;
};

}  // namespace samphire

#endif  // DECISION_WAKEUP_H_
