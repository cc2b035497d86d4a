#ifndef TARGET_WORKER_BEHAVIOR_H_
#define TARGET_WORKER_BEHAVIOR_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Configured behavior of a simulated target.
struct worker_behavior {
  // The service time is uniform between half and one and a half times the mean;
  // a share of requests (0 to 1) takes `long_factor` times as long.
  microseconds mean_service{5000};
  double long_share = 0;
  double long_factor = 4;
  // Service time factor: 1 for a healthy target, more for a slow one.
  double slow_factor = 1;
  // This many first requests after a start find a cold cache and take
  // `cold_factor` times as long.
  std::uint32_t cold_requests = 0;
  double cold_factor = 1;
  // Whether it sheds load, that is, refuses requests while all slots are busy.
  // Otherwise it runs all requests at once, and each takes longer the more
  // there are, as on an overloaded server.
  bool sheds_load = true;
  // The load report shows the actual load multiplied by this factor, as it was
  // `load_report_lag` ago.
  double reported_load_factor = 1;
  milliseconds load_report_lag{0};
  // How long a crashed target refuses connections.
  milliseconds restart_time{500};
  // Whether a crash ends the process instead of restarting the target in it.
  bool crash_exits = false;
};

}  // namespace samphire

#endif  // TARGET_WORKER_BEHAVIOR_H_
