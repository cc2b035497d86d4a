#ifndef TARGET_TARGET_PROGRAM_H_
#define TARGET_TARGET_PROGRAM_H_

#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "worker_behavior.h"
#include "worker_identity.h"

namespace samphire {

// What the command line of samphire-target asks for.
struct target_program {
  std::vector<worker_identity> workers;
  worker_behavior behavior;
  // Mean service time and slowness that differ from the behaviour's.
  std::map<std::string, microseconds> service_means;
  std::map<std::string, double> slow_workers;
  std::string history_path;
  std::uint32_t seed = 1;
  milliseconds stop_time{10'000};
};

// Serves until SIGTERM or SIGINT, then lets what runs finish. Returns the
// process's exit code.
int RunTargets(const target_program& program);

// "NAME=NUMBER,..." with "" for the number that holds for all others.
result<std::map<std::string, double>> ParseNumbers(const std::string& text);

}  // namespace samphire

#endif  // TARGET_TARGET_PROGRAM_H_
