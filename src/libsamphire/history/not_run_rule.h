#ifndef HISTORY_NOT_RUN_RULE_H_
#define HISTORY_NOT_RUN_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A request that is reported to its caller as "not-run" never ran at any
// target. Judges each such answer, if targets recorded a history.
class not_run_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "not-run";

  // Judges a history. Stateless, so that any thread may call it. `limits` is
  // not used.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_NOT_RUN_RULE_H_
