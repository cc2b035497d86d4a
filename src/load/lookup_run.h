#ifndef LOAD_LOOKUP_RUN_H_
#define LOAD_LOOKUP_RUN_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// What a run of look-ups alone came to.
struct lookup_run_result {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
  duration time{0};
};

// Asks one entry for one service from `threads` connections, each as fast as
// it is answered, for `run_time`.
lookup_run_result RunLookups(const std::string& entry,
                             const std::string& service,
                             std::uint32_t threads,
                             duration run_time);

}  // namespace samphire

#endif  // LOAD_LOOKUP_RUN_H_
