#include "history/shift_cap_rule.h"

#include <fmt/format.h>

#include "history/in_flight_peak.h"

namespace samphire {

namespace {

std::string PairName(const std::string& from, const std::string& to) {
  return from + " to " + to;
}

// Returns the regions of the caller and the target of a run; nothing for a run
// in the caller's own region, or one whose request or target is not recorded.
std::optional<std::string> ShiftOf(const history_index& history,
                                   const run_started& start) {
  const auto request = history.requests().find(start.request_id);
  const auto target = history.targets().find(start.target);
  if (request == history.requests().end() ||
      target == history.targets().end() ||
      request->second.sent.home == target->second.region)
    return std::nullopt;
  return PairName(request->second.sent.home, target->second.region);
}

}  // namespace

rule_verdict shift_cap_rule::Judge(const history_index& history,
                                   const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  // A cap that was changed counts with its highest value: which value was in
  // force for a run is known only to the entry and not recorded in the history.
  std::map<std::string, cap_declared> caps;
  for (const auto* cap : history.All<cap_declared>()) {
    auto& kept = caps[PairName(cap->from, cap->to)];
    if (cap->max_in_flight >= kept.max_in_flight)
      kept = *cap;
  }
  if (caps.empty())
    return verdict;
  const auto peaks = FindInFlightPeaks(history, [&](const run_started& start) {
    return ShiftOf(history, start);
  });
  for (const auto& peak : peaks) {
    ++verdict.judged;
    const auto cap = caps.find(peak.group);
    const auto max = cap == caps.end() ? 0 : cap->second.max_in_flight;
    if (peak.count <= max)
      continue;
    rule_finding finding{fmt::format("{}: {} in flight exceed the cap of {}",
                                     peak.group, peak.count, max),
                         {peak.start}};
    if (cap != caps.end())
      finding.events.emplace_back(cap->second);
    verdict.findings.push_back(std::move(finding));
  }
  return verdict;
}

}  // namespace samphire
