#ifndef HISTORY_HISTORY_MEASURES_H_
#define HISTORY_HISTORY_MEASURES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "history/history_index.h"

namespace samphire {

// Slots of a region and the largest number of runs in it at the same time; the
// difference is the headroom at peak load.
struct region_headroom {
  std::string region;
  std::int64_t slots = 0;
  std::int64_t peak_in_flight = 0;
};

// Time from the announcement that a target is leaving until its last run ended;
// zero if no run was left.
struct target_drain_time {
  std::string target;
  // Empty if a run of the target has no recorded end.
  std::optional<microseconds> time;
};

// Figures of a history that no rule judges.
struct history_measures {
  std::vector<region_headroom> headroom;
  // One for each target that left, from its first announcement on.
  std::vector<target_drain_time> drains;
};

// Computes the figures. Any thread may call it.
history_measures MeasureHistory(const history_index& history);

}  // namespace samphire

#endif  // HISTORY_HISTORY_MEASURES_H_
