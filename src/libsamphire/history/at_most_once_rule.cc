#include "history/at_most_once_rule.h"

#include <fmt/format.h>

#include <utility>

namespace samphire {

rule_verdict at_most_once_rule::Judge(const history_index& history,
                                      const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  using service_key = std::pair<std::string, std::string>;
  std::map<service_key, std::vector<const run_started*>> runs;
  for (const auto& [number, run] : history.runs()) {
    if (run.start.key.empty())
      continue;
    const auto& target = run.start.target;
    runs[{target.substr(0, target.find('/')), run.start.key}].push_back(
        &run.start);
  }
  for (const auto& [key, starts] : runs) {
    ++verdict.judged;
    if (starts.size() < 2)
      continue;
    rule_finding finding{fmt::format("requests with key {} ran {} times",
                                     key.second, starts.size()),
                         {}};
    for (const auto* start : starts)
      finding.events.emplace_back(*start);
    verdict.findings.push_back(std::move(finding));
  }
  return verdict;
}

}  // namespace samphire
