#ifndef DECISION_HELD_LOAN_H_
#define DECISION_HELD_LOAN_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// One borrowed slot of a target.
struct held_loan {
  // This entry's own number of the loan.
  std::uint64_t id = 0;
  std::string target;
  // No work starts on it at or after this time.
  time_point usable_until;
  // Work on it must end within this time of its start.
  duration longest_work{0};
};

}  // namespace samphire

#endif  // DECISION_HELD_LOAN_H_
