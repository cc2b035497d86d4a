#ifndef EXPERIMENT_SCENARIO_H_
#define EXPERIMENT_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "experiment/caller_group.h"
#include "experiment/request_stream.h"

namespace samphire {

// Definition of one load experiment: the callers, the requests that they send,
// and when. Read from JSON by ReadScenario().
struct scenario {
  std::string name;
  // Seed of the arrival schedule; see PlanArrivals().
  std::uint32_t seed = 1;
  milliseconds run_time{0};
  // IP:PORT of the entries that callers know initially; they look up further
  // entries there.
  std::vector<std::string> entries;
  std::vector<caller_group> callers;
  std::vector<request_stream> streams;
  // Upper bound of the wait after a refusal with Retry-After.
  milliseconds max_retry_wait{1000};
};

}  // namespace samphire

#endif  // EXPERIMENT_SCENARIO_H_
