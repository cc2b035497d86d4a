#ifndef HISTORY_HISTORY_JUDGE_H_
#define HISTORY_HISTORY_JUDGE_H_

#include <variant>
#include <vector>

#include "history/at_most_once_rule.h"
#include "history/config_rule.h"
#include "history/fresh_level_rule.h"
#include "history/leaving_rule.h"
#include "history/not_run_rule.h"
#include "history/own_answer_rule.h"
#include "history/planned_stop_rule.h"
#include "history/refusal_rule.h"
#include "history/shift_cap_rule.h"
#include "history/slots_rule.h"

namespace samphire {

using history_rule = std::variant<own_answer_rule,
                                  not_run_rule,
                                  at_most_once_rule,
                                  shift_cap_rule,
                                  slots_rule,
                                  leaving_rule,
                                  planned_stop_rule,
                                  config_rule,
                                  refusal_rule,
                                  fresh_level_rule>;

const std::vector<history_rule>& AllRules();

// What every rule says of a history whose events are in the order of time.
std::vector<rule_verdict> JudgeHistory(const std::vector<history_event>& events,
                                       const history_limits& limits);

bool AnyBroken(const std::vector<rule_verdict>& verdicts);

}  // namespace samphire

#endif  // HISTORY_HISTORY_JUDGE_H_
