#ifndef HISTORY_IN_FLIGHT_PEAK_H_
#define HISTORY_IN_FLIGHT_PEAK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "history/history_index.h"

namespace samphire {

// Peak concurrency of a group: the largest number of runs at the same time.
struct in_flight_peak {
  std::string group;
  std::int64_t count = 0;
  // The run whose start reached the peak.
  run_started start;
};

// Returns the peak of each group of runs. `group_of` names the group of a run;
// runs for which it returns nothing are left out.
std::vector<in_flight_peak> FindInFlightPeaks(
    const history_index& history,
    const std::function<std::optional<std::string>(const run_started&)>&
        group_of);

}  // namespace samphire

#endif  // HISTORY_IN_FLIGHT_PEAK_H_
