#ifndef DECISION_CANCEL_RESULT_H_
#define DECISION_CANCEL_RESULT_H_

#include <vector>

#include "decision/wakeup.h"

namespace samphire {

// Whether a waiting request was found and dropped, and who got its place.
struct cancel_result {
  bool found = false;
  std::vector<wakeup> wakeups;
};

}  // namespace samphire

#endif  // DECISION_CANCEL_RESULT_H_
