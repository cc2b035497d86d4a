#ifndef DECISION_QUEUED_H_
#define DECISION_QUEUED_H_

#include <cstddef>

#include "base/clock_source.h"

namespace samphire {

// A request that waits; its fate comes as a wakeup.
struct queued {
  // How many waiters are served before it, as things stand.
  std::size_t position = 0;
  duration expected_wait{0};
};

}  // namespace samphire

#endif  // DECISION_QUEUED_H_
