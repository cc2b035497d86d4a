#ifndef DECISION_LOAN_DEMAND_H_
#define DECISION_LOAN_DEMAND_H_

#include <vector>

#include "base/clock_source.h"

namespace samphire {

// How many slots the waiting interactive requests of an entry could use beyond
// those that it has, and for how long.
struct loan_demand {
  // How long each of the first of these requests has waited already, in the
  // order in which the queue serves them (higher priority first).
  std::vector<duration> waits;
  // The longest time that work on a borrowed slot may run.
  duration longest_work{0};
};

}  // namespace samphire

#endif  // DECISION_LOAN_DEMAND_H_
