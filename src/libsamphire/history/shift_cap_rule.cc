#include "history/shift_cap_rule.h"

#include <fmt/format.h>

#include "history/in_flight_count.h"

namespace samphire {

namespace {

std::string PairName(const std::string& from, const std::string& to) {
  return from + " to " + to;
}

// Whose callers' work runs where; nothing for work that stays at home.
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
  // A cap that was changed holds at its highest value: which one was in force
  // for a run is the entry's knowledge, not the history's.
  std::map<std::string, cap_declared> caps;
  for (const auto* cap : history.All<cap_declared>()) {
    auto& kept = caps[PairName(cap->from, cap->to)];
    if (cap->max_in_flight >= kept.max_in_flight)
      kept = *cap;
  }
  if (caps.empty())
    return verdict;
  const auto peaks = FindPeaks(history, [&](const run_started& start) {
    return ShiftOf(history, start);
  });
  for (const auto& peak : peaks) {
    ++verdict.judged;
    const auto cap = caps.find(peak.group);
    const auto most = cap == caps.end() ? 0 : cap->second.max_in_flight;
    if (peak.count <= most)
      continue;
    rule_finding finding{fmt::format("{}: {} in flight over a cap of {}",
                                     peak.group, peak.count, most),
                         {peak.start}};
    if (cap != caps.end())
      finding.events.emplace_back(cap->second);
    verdict.findings.push_back(std::move(finding));
  }
  return verdict;
}

}  // namespace samphire
