#ifndef DECISION_PLACEMENT_CONSTRAINTS_H_
#define DECISION_PLACEMENT_CONSTRAINTS_H_

#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Constraints that a request puts on its placement.
struct placement_constraints {
  // Not owned; null if no failure domain is to be avoided.
  const std::vector<std::string>* avoid_failure_domains = nullptr;
  // Only a request that may run again can be used to probe whether an ejected
  // target has recovered.
  bool may_probe = false;
  // Whether a target that runs nothing else is preferred, as for a crash
  // suspect.
  bool isolate = false;
  // Bulk work uses owned slots only.
  bool may_borrow = true;
  // The longest time that the request may run.
  duration longest{0};
};

}  // namespace samphire

#endif  // DECISION_PLACEMENT_CONSTRAINTS_H_
