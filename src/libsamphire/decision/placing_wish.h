#ifndef DECISION_PLACING_WISH_H_
#define DECISION_PLACING_WISH_H_

#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// What a request asks of the target it is placed on.
struct placing_wish {
  const std::vector<std::string>* avoid_failure_domains = nullptr;
  // Only a request that may run again can tell whether an ejected target is
  // back.
  bool may_probe = false;
  bool isolate = false;
  // Bulk work uses own slots only.
  bool may_borrow = true;
  // How long it may run.
  duration longest{0};
};

}  // namespace samphire

#endif  // DECISION_PLACING_WISH_H_
