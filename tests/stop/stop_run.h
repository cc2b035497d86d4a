#ifndef TESTS_STOP_STOP_RUN_H_
#define TESTS_STOP_STOP_RUN_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "platform_adapter/kept_callers.h"
#include "platform_adapter/paced_target.h"

namespace samphire {

// One planned stop of an entry process under load.
struct stop_plan {
  // The time from SIGTERM to SIGKILL.
  std::chrono::milliseconds grace{3000};
  // The time for which callers may use a look-up.
  std::chrono::milliseconds lookup_ttl{500};
  // The time-out of the routes.
  std::chrono::milliseconds route_timeout{2000};
  platform::answer_pace pace;
  platform::caller_plan callers;
  // Threads that use up processors beside the run.
  int busy_threads = 0;
  // Signals that are sent after SIGTERM, with the time since then.
  std::vector<std::pair<std::chrono::milliseconds, int>> more_signals;
};

// What was seen of the stop.
struct stop_outcome {
  std::chrono::steady_clock::time_point signalled;
  // The time from SIGTERM to the end of the process, and its exit code.
  std::chrono::milliseconds ended_after{0};
  int exit_code = 0;
  std::vector<platform::kept_call> calls;
  std::multimap<std::string, platform::paced_run> runs;
  std::string log_path;

  // The calls that were sent from one second before SIGTERM on, and ended in
  // one of the ways that break a promise; a line each.
  std::vector<std::string> Faults(const stop_plan& plan) const;
};

// Starts an entry with two targets, lets callers use it for a second, and stops
// it.
stop_outcome RunStop(const stop_plan& plan);

}  // namespace samphire

#endif  // TESTS_STOP_STOP_RUN_H_
