#ifndef DECISION_WAKEUP_H_
#define DECISION_WAKEUP_H_

#include <cstdint>
#include <variant>

#include "decision/refusal.h"
#include "decision/slot_grant.h"

namespace samphire {

// What became of a request that waited.
struct wakeup {
  std::uint64_t request_id = 0;
  std::variant<slot_grant, refusal> fate;
};

}  // namespace samphire

#endif  // DECISION_WAKEUP_H_
