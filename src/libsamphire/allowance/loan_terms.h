#ifndef ALLOWANCE_LOAN_TERMS_H_
#define ALLOWANCE_LOAN_TERMS_H_

#include "base/clock_source.h"

namespace samphire {

// Time bounds that apply to every loan. Both are set in the configuration (see
// config/limits.h).
struct loan_terms {
  // How long after its request was sent a borrowed slot may start work.
  duration ttl{0};
  // Largest difference that two instances' clocks may accumulate over the
  // duration of a loan.
  duration clock_drift{0};
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_TERMS_H_
