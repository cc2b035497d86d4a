#ifndef EXPERIMENT_SCENARIO_H_
#define EXPERIMENT_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "experiment/caller_group.h"
#include "experiment/request_stream.h"

namespace samphire {

// One experiment: who sends what to whom, and when.
struct scenario {
  std::string name;
  std::uint32_t seed = 1;
  milliseconds run_time{0};
  // IP:PORT of the entries that callers know of, to look up further ones.
  std::vector<std::string> entries;
  std::vector<caller_group> callers;
  std::vector<request_stream> streams;
  // The longest that a caller waits when told to come back.
  milliseconds longest_wait{1000};
};

}  // namespace samphire

#endif  // EXPERIMENT_SCENARIO_H_
