#ifndef LOAD_LOOKUP_RUN_H_
#define LOAD_LOOKUP_RUN_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// Totals of a load run that consists of look-ups only.
struct lookup_run_result {
  // Responses with status 200.
  std::uint64_t answered = 0;
  // Other responses, and network errors.
  std::uint64_t failed = 0;
  // Actual length of the run.
  duration time{0};
};

// Runs a closed-loop load of look-ups for `service` against the entry at
// IP:PORT `entry`: `threads` threads with a connection each send the next
// look-up as soon as the previous one is answered, for `run_time`. Blocks until
// all threads have finished.
lookup_run_result RunLookups(const std::string& entry,
                             const std::string& service,
                             std::uint32_t threads,
                             duration run_time);

}  // namespace samphire

#endif  // LOAD_LOOKUP_RUN_H_
