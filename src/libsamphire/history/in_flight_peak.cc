#include "history/in_flight_peak.h"

#include <algorithm>
#include <map>

namespace samphire {

std::vector<in_flight_peak> FindInFlightPeaks(
    const history_index& history,
    const std::function<std::optional<std::string>(const run_started&)>&
        group_of) {
  struct group_state {
    std::int64_t in_flight = 0;
    in_flight_peak peak;
  };
  std::map<std::string, group_state> groups;
  // Events are in order of time. A run without a recorded end (its process was
  // killed) is over when its target restarts. The history has no event for the
  // restart itself, so that the run counts until its target is declared again.
  std::map<std::int64_t, std::string> running;
  std::map<std::string, std::vector<std::int64_t>> running_at;
  const auto end = [&](std::int64_t run) {
    const auto found = running.find(run);
    if (found == running.end())
      return;
    --groups[found->second].in_flight;
    running.erase(found);
  };
  for (const auto& event : history.events()) {
    if (const auto* start = std::get_if<run_started>(&event)) {
      const auto group = group_of(*start);
      if (!group)
        continue;
      running[start->run] = *group;
      running_at[start->target].push_back(start->run);
      auto& state = groups[*group];
      if (++state.in_flight > state.peak.count)
        state.peak = {*group, state.in_flight, *start};
    } else if (const auto* ended = std::get_if<run_ended>(&event)) {
      end(ended->run);
    } else if (const auto* target = std::get_if<target_declared>(&event)) {
      for (const auto run : running_at[target->target])
        end(run);
      running_at[target->target].clear();
    }
  }
  std::vector<in_flight_peak> peaks;
  peaks.reserve(groups.size());
  for (auto& [name, state] : groups)
    peaks.push_back(std::move(state.peak));
  return peaks;
}

}  // namespace samphire
