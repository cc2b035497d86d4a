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

// Any of the rules: the guarantees that the system gives to its users.
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

// Returns one object of each rule, in the order of the verdicts.
const std::vector<history_rule>& AllRules();

// Applies every rule to a history and returns a verdict for each. The events
// must be in order of time. Any thread may call it.
std::vector<rule_verdict> JudgeHistory(const std::vector<history_event>& events,
                                       const history_limits& limits);

// Returns whether any rule is violated.
bool AnyViolated(const std::vector<rule_verdict>& verdicts);

}  // namespace samphire

#endif  // HISTORY_HISTORY_JUDGE_H_
