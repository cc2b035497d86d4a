#ifndef HISTORY_HISTORY_MEASURES_H_
#define HISTORY_HISTORY_MEASURES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "history/history_index.h"

namespace samphire {

// How much of a region's slots was left at its busiest moment.
struct region_headroom {
  std::string region;
  std::int64_t slots = 0;
  std::int64_t peak_in_flight = 0;
};

// How long a target took from its announcement until its last run ended.
struct target_drain_time {
  std::string target;
  // Nothing when a run of it never ended.
  std::optional<microseconds> time;
};

struct history_measures {
  std::vector<region_headroom> headroom;
  std::vector<target_drain_time> drains;
};

history_measures MeasureHistory(const history_index& history);

}  // namespace samphire

#endif  // HISTORY_HISTORY_MEASURES_H_
