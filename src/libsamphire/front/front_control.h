#ifndef FRONT_FRONT_CONTROL_H_
#define FRONT_FRONT_CONTROL_H_

#include <atomic>

#include "front/front_limits.h"
#include "front/front_phase.h"

namespace samphire {

// What the connections of one port share.
struct front_control {
  front_limits limits;
  std::atomic<front_phase> phase = front_phase::kOpen;
  // Requests that are being served.
  std::atomic<int> active = 0;
};

}  // namespace samphire

#endif  // FRONT_FRONT_CONTROL_H_
