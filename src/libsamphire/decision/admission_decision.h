#ifndef DECISION_ADMISSION_DECISION_H_
#define DECISION_ADMISSION_DECISION_H_

#include <variant>

#include "decision/queued.h"
#include "decision/refusal.h"
#include "decision/slot_grant.h"

namespace samphire {

using admission_decision = std::variant<slot_grant, queued, refusal>;

}  // namespace samphire

#endif  // DECISION_ADMISSION_DECISION_H_
