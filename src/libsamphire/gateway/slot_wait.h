#ifndef GATEWAY_SLOT_WAIT_H_
#define GATEWAY_SLOT_WAIT_H_

#include <variant>

#include "decision/refusal.h"
#include "decision/slot_grant.h"

namespace samphire {

// The caller left while its request waited; nothing ran.
struct caller_left {};

// How waiting for a slot ended.
using slot_wait = std::variant<slot_grant, refusal, caller_left>;

}  // namespace samphire

#endif  // GATEWAY_SLOT_WAIT_H_
