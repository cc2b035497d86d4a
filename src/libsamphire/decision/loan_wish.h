#ifndef DECISION_LOAN_WISH_H_
#define DECISION_LOAN_WISH_H_

#include <cstddef>

#include "base/clock_source.h"
#include "config/request_kind.h"

namespace samphire {

// How many slots this entry could use at once beyond those it holds.
struct loan_wish {
  request_kind kind = request_kind::kInteractive;
  std::size_t count = 0;
  // How long the first of them has waited already.
  duration oldest_wait{0};
  // The longest that work on the borrowed slot may run.
  duration longest_work{0};
};

}  // namespace samphire

#endif  // DECISION_LOAN_WISH_H_
