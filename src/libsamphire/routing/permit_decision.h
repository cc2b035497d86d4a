#ifndef ROUTING_PERMIT_DECISION_H_
#define ROUTING_PERMIT_DECISION_H_

#include "base/clock_source.h"

namespace samphire {

struct permit_decision {
  bool granted = false;
  // If not granted: the time after which the caller should retry.
  milliseconds retry_after{0};
};

}  // namespace samphire

#endif  // ROUTING_PERMIT_DECISION_H_
