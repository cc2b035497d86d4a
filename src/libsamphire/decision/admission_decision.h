#ifndef DECISION_ADMISSION_DECISION_H_
#define DECISION_ADMISSION_DECISION_H_

#include <variant>

#include "decision/queued.h"
#include "decision/refusal.h"
#include "decision/slot_grant.h"

namespace samphire {

// Result of submitting a request to a service_dispatcher: it starts at once,
// waits in the queue, or is refused.
using admission_decision = std::variant<slot_grant, queued, refusal>;

}  // namespace samphire

#endif  // DECISION_ADMISSION_DECISION_H_
