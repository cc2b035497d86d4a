#include "history/slots_rule.h"

#include <fmt/format.h>

#include <algorithm>

#include "history/in_flight_peak.h"

namespace samphire {

namespace {

// A cancelled run occupies its slot until the target notices the cancellation.
// Load that a target sheds within this time of a cancellation is therefore not
// counted as a violation by the sender.
constexpr history_time kCancelNoticeUs = 1'000'000;

bool IsNearCancellation(const std::vector<const run_ended*>& ends,
                        const run_shed& shed) {
  return std::any_of(ends.begin(), ends.end(), [&](const auto* end) {
    return end->target == shed.target &&
           end->outcome == run_outcome::kCancelled &&
           std::abs(end->time_us - shed.time_us) < kCancelNoticeUs;
  });
}

// Compares the peak concurrency of each group with its slots.
void JudgePeaks(const history_index& history,
                const std::map<std::string, std::int64_t>& slots,
                const std::vector<in_flight_peak>& peaks,
                rule_verdict& verdict) {
  for (const auto& peak : peaks) {
    ++verdict.judged;
    const auto max = slots.find(peak.group);
    if (max == slots.end() || peak.count <= max->second)
      continue;
    rule_finding finding{fmt::format("{}: {} in flight exceed {} slots",
                                     peak.group, peak.count, max->second),
                         {peak.start}};
    const auto target = history.targets().find(peak.start.target);
    if (target != history.targets().end())
      finding.events.emplace_back(target->second);
    verdict.findings.push_back(std::move(finding));
  }
}

}  // namespace

rule_verdict slots_rule::Judge(const history_index& history,
                               const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  std::map<std::string, std::int64_t> of_target;
  std::map<std::string, std::int64_t> of_region;
  for (const auto& [name, target] : history.targets()) {
    of_target[name] = target.slots;
    of_region[target.region] += target.slots;
  }
  JudgePeaks(history, of_target,
             FindInFlightPeaks(history,
                               [](const run_started& start) {
                                 return std::optional(start.target);
                               }),
             verdict);
  JudgePeaks(history, of_region,
             FindInFlightPeaks(
                 history,
                 [&](const run_started& start) -> std::optional<std::string> {
                   const auto found = history.targets().find(start.target);
                   if (found == history.targets().end())
                     return std::nullopt;
                   return found->second.region;
                 }),
             verdict);
  const auto ends = history.All<run_ended>();
  for (const auto* shed : history.All<run_shed>()) {
    ++verdict.judged;
    if (!IsNearCancellation(ends, *shed)) {
      verdict.findings.push_back(
          {fmt::format("{} was sent a request while all {} slots were busy",
                       shed->target, shed->in_flight),
           {*shed}});
    }
  }
  return verdict;
}

}  // namespace samphire
