#ifndef FRONT_FRONT_CONTROL_H_
#define FRONT_FRONT_CONTROL_H_

#include <atomic>

#include "front/front_limits.h"

namespace samphire {

// What the connections of one port share: its limits and whether it closes.
struct front_control {
  front_limits limits;
  std::atomic<bool> closing = false;
};

}  // namespace samphire

#endif  // FRONT_FRONT_CONTROL_H_
