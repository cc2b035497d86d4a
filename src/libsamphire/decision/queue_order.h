#ifndef DECISION_QUEUE_ORDER_H_
#define DECISION_QUEUE_ORDER_H_

#include "base/enum_names.h"

namespace samphire {

// The order in which waiting requests of one kind and priority are served: by
// arrival or by deadline, earliest first.
enum class queue_order { kArrival, kDeadline };

inline constexpr enum_names<queue_order, 2> kQueueOrderNames{{
    {queue_order::kArrival, "arrival"},
    {queue_order::kDeadline, "deadline"},
}};

}  // namespace samphire

#endif  // DECISION_QUEUE_ORDER_H_
