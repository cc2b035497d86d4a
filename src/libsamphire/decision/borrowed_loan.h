#ifndef DECISION_BORROWED_LOAN_H_
#define DECISION_BORROWED_LOAN_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// One slot of a target that this entry has borrowed from another entry.
struct borrowed_loan {
  // The number under which this entry, the borrower, knows the loan.
  std::uint64_t id = 0;
  std::string target;
  // No work may start on the slot at or after this time.
  time_point usable_until;
  // Work on the slot must end within this time of its start.
  duration longest_work{0};
};

}  // namespace samphire

#endif  // DECISION_BORROWED_LOAN_H_
