#ifndef DECISION_LOAN_WISH_H_
#define DECISION_LOAN_WISH_H_

#include <vector>

#include "base/clock_source.h"

namespace samphire {

// What an entry's waiters could use beyond the slots that it holds.
struct loan_wish {
  // How long each of the first of them has waited already, longest first.
  std::vector<duration> waits;
  // The longest that work on a borrowed slot may run.
  duration longest_work{0};
};

}  // namespace samphire

#endif  // DECISION_LOAN_WISH_H_
