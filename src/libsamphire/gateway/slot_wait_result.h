#ifndef GATEWAY_SLOT_WAIT_RESULT_H_
#define GATEWAY_SLOT_WAIT_RESULT_H_

#include <variant>

#include "decision/refusal.h"
#include "decision/slot_grant.h"

namespace samphire {

// The caller disconnected while its request waited; nothing ran.
struct caller_disconnected {};

// How waiting for a slot ended.
using slot_wait_result = std::variant<slot_grant, refusal, caller_disconnected>;

}  // namespace samphire

#endif  // GATEWAY_SLOT_WAIT_RESULT_H_
