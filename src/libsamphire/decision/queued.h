#ifndef DECISION_QUEUED_H_
#define DECISION_QUEUED_H_

#include <cstddef>

#include "base/clock_source.h"

namespace samphire {

// Decision to queue a request; its result follows later as a wakeup.
struct queued {
  // How many requests of its home region and kind, of its priority or above,
  // were waiting when it was queued.
  std::size_t position = 0;
  // Estimated time until it gets a slot.
  duration expected_wait{0};
};

}  // namespace samphire

#endif  // DECISION_QUEUED_H_
