#include "history/history_measures.h"

#include <algorithm>

#include "history/in_flight_peak.h"

namespace samphire {

namespace {

std::vector<region_headroom> MeasureHeadroom(const history_index& history) {
  std::map<std::string, region_headroom> regions;
  for (const auto& [name, target] : history.targets()) {
    auto& region = regions[target.region];
    region.region = target.region;
    region.slots += target.slots;
  }
  const auto peaks = FindInFlightPeaks(
      history, [&](const run_started& start) -> std::optional<std::string> {
        const auto target = history.targets().find(start.target);
        if (target == history.targets().end())
          return std::nullopt;
        return target->second.region;
      });
  for (const auto& peak : peaks)
    regions[peak.group].peak_in_flight = peak.count;
  std::vector<region_headroom> headroom;
  headroom.reserve(regions.size());
  for (auto& [name, region] : regions)
    headroom.push_back(std::move(region));
  return headroom;
}

target_drain_time MeasureDrain(const history_index& history,
                               const target_leaving& leaving) {
  target_drain_time drain{.target = leaving.target, .time = microseconds(0)};
  for (const auto& [number, run] : history.runs()) {
    if (run.start.target != leaving.target)
      continue;
    if (run.end == nullptr)
      return {.target = leaving.target, .time = std::nullopt};
    const microseconds after(run.end->time_us - leaving.time_us);
    drain.time = std::max(*drain.time, after);
  }
  return drain;
}

}  // namespace

history_measures MeasureHistory(const history_index& history) {
  history_measures measures{.headroom = MeasureHeadroom(history), .drains = {}};
  for (const auto* leaving : history.All<target_leaving>()) {
    const bool seen = std::any_of(
        measures.drains.begin(), measures.drains.end(),
        [&](const auto& drain) { return drain.target == leaving->target; });
    if (leaving->leaving && !seen)
      measures.drains.push_back(MeasureDrain(history, *leaving));
  }
  return measures;
}

}  // namespace samphire
