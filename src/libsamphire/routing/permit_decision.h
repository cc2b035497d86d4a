#ifndef ROUTING_PERMIT_DECISION_H_
#define ROUTING_PERMIT_DECISION_H_

#include "base/clock_source.h"

namespace samphire {

// The answer to an entry that needs a permit to send one request.
struct permit_decision {
  bool granted = false;
  // The time after which the caller should retry, if not granted.
  milliseconds retry_after{0};
};

}  // namespace samphire

#endif  // ROUTING_PERMIT_DECISION_H_
