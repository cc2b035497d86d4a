#include "history/leaving_rule.h"

#include <fmt/format.h>

namespace samphire {

rule_verdict leaving_rule::Judge(const history_index& history,
                                 const history_limits& limits) const {
  rule_verdict verdict{.rule = std::string(kName)};
  const auto allowed = microseconds(limits.leaving_limit).count();
  std::map<std::string, const target_leaving*> leaving;
  for (const auto& event : history.events()) {
    if (const auto* change = std::get_if<target_leaving>(&event)) {
      if (!change->leaving) {
        leaving.erase(change->target);
      } else if (leaving.try_emplace(change->target, change).second) {
        // A repeated announcement does not restart the time limit.
        ++verdict.judged;
      }
    } else if (const auto* start = std::get_if<run_started>(&event)) {
      const auto found = leaving.find(start->target);
      if (found == leaving.end() ||
          start->time_us - found->second->time_us <= allowed)
        continue;
      verdict.findings.push_back(
          {fmt::format("{} started a run {} ms after its drain began",
                       start->target,
                       (start->time_us - found->second->time_us) / 1000),
           {*found->second, *start}});
    }
  }
  return verdict;
}

}  // namespace samphire
