#ifndef HISTORY_IN_FLIGHT_COUNT_H_
#define HISTORY_IN_FLIGHT_COUNT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "history/history_index.h"

namespace samphire {

// The moment when a group had the most runs at once.
struct in_flight_peak {
  std::string group;
  std::int64_t count = 0;
  // The run that made it so.
  run_started start;
};

// The peak of each group of runs; `group_of` leaves a run out by nothing.
std::vector<in_flight_peak> FindPeaks(
    const history_index& history,
    const std::function<std::optional<std::string>(const run_started&)>&
        group_of);

}  // namespace samphire

#endif  // HISTORY_IN_FLIGHT_COUNT_H_
