#ifndef ALLOWANCE_LOAN_TERMS_H_
#define ALLOWANCE_LOAN_TERMS_H_

#include "base/clock_source.h"

namespace samphire {

// The lengths of time that loans are made under; see limits.
struct loan_terms {
  // How long after an ask a slot may start work.
  duration ttl{0};
  // Allowed error between two instances' clocks over a loan.
  duration drift{0};
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_TERMS_H_
