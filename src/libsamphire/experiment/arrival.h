#ifndef EXPERIMENT_ARRIVAL_H_
#define EXPERIMENT_ARRIVAL_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// One request that is to be sent, whatever became of those before.
struct arrival {
  // From the start of the run; latency is counted from here.
  duration at{0};
  std::uint32_t stream = 0;
  std::uint32_t group = 0;
  std::uint32_t source = 0;
  // Unique in a run.
  std::uint64_t number = 0;
  bool abandons = false;
};

}  // namespace samphire

#endif  // EXPERIMENT_ARRIVAL_H_
