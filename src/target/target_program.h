#ifndef TARGET_TARGET_PROGRAM_H_
#define TARGET_TARGET_PROGRAM_H_

#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "worker_behavior.h"
#include "worker_identity.h"

namespace samphire {

// Options of samphire-target, as read from its command line.
struct target_program {
  std::vector<worker_identity> workers;
  // Behavior of all targets, unless one of the maps below overrides it.
  worker_behavior behavior;
  // Mean service time by service name; overrides the behavior's.
  std::map<std::string, microseconds> service_means;
  // Slow factor by full target name (SERVICE/NAME); overrides the behavior's.
  std::map<std::string, double> slow_workers;
  // File to append the event history to; "" for none.
  std::string history_path;
  // Seed of the first target's service times; each next target adds 1.
  std::uint32_t seed = 1;
  // Limit for running requests to finish when the process is stopped.
  milliseconds stop_time{10'000};
};

// Simulates the targets until SIGTERM or SIGINT, then lets running requests
// finish. Blocks; call it before any other thread starts, so that all threads
// inherit the blocked signals. Returns the exit code of the process: 0, 1 if it
// can't listen at an address, or 2 if it can't open the history file.
int RunTargets(const target_program& program);

// Parses "NAME=NUMBER,..." into a map by name. A number without a name applies
// to all other names and is stored under "". Fails with kUsage if a number is
// malformed or negative.
result<std::map<std::string, double>> ParseNumbers(const std::string& text);

}  // namespace samphire

#endif  // TARGET_TARGET_PROGRAM_H_
