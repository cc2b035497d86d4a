#ifndef TARGET_WORKER_BEHAVIOR_H_
#define TARGET_WORKER_BEHAVIOR_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// How a stand-in worker answers.
struct worker_behavior {
  // Service time: uniform between half and one and a half of the mean; a share
  // of requests takes `long_factor` times as long.
  microseconds mean_service{5000};
  double long_share = 0;
  double long_factor = 4;
  // 1 for a healthy worker, more for a slow one.
  double slow_factor = 1;
  // The first requests after a start find nothing cached.
  std::uint32_t cold_requests = 0;
  double cold_factor = 1;
  // Turns requests away once all slots are busy; otherwise it runs them all,
  // each the slower the more there are, as an overloaded server does.
  bool sheds = true;
  // The load report tells the true load times this, as it was this long ago.
  double load_lie_factor = 1;
  milliseconds load_lag{0};
  // How long a crashed worker refuses connections.
  milliseconds restart_time{500};
  bool crash_exits = false;
};

}  // namespace samphire

#endif  // TARGET_WORKER_BEHAVIOR_H_
