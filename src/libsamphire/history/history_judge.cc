#include "history/history_judge.h"

#include <algorithm>

namespace samphire {

const std::vector<history_rule>& AllRules() {
  static const std::vector<history_rule> rules{
      own_answer_rule{},   not_run_rule{}, at_most_once_rule{},
      shift_cap_rule{},    slots_rule{},   leaving_rule{},
      planned_stop_rule{}, config_rule{},  refusal_rule{},
      fresh_level_rule{}};
  return rules;
}

std::vector<rule_verdict> JudgeHistory(const std::vector<history_event>& events,
                                       const history_limits& limits) {
  const history_index index(events);
  std::vector<rule_verdict> verdicts;
  for (const auto& rule : AllRules()) {
    verdicts.push_back(std::visit(
        [&](const auto& r) { return r.Judge(index, limits); }, rule));
  }
  return verdicts;
}

bool AnyViolated(const std::vector<rule_verdict>& verdicts) {
  return std::any_of(verdicts.begin(), verdicts.end(), [](const auto& verdict) {
    return verdict.kind() == verdict_kind::kViolated;
  });
}

}  // namespace samphire
