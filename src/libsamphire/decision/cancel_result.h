#ifndef DECISION_CANCEL_RESULT_H_
#define DECISION_CANCEL_RESULT_H_

#include <vector>

#include "decision/wakeup.h"

namespace samphire {

// Result of cancelling a request: whether it was found in the queue and
// removed, and the waiters that were served or refused as a result.
struct cancel_result {
  bool found = false;
  std::vector<wakeup> wakeups;
};

}  // namespace samphire

#endif  // DECISION_CANCEL_RESULT_H_
