#ifndef HISTORY_PLANNED_STOP_RULE_H_
#define HISTORY_PLANNED_STOP_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A planned stop of an entry or a target interrupts no request that is in
// progress. Judges each request or run during a stop.
class planned_stop_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "planned-stop";

  // Judges a history. Stateless, so that any thread may call it. `limits` is
  // not used.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_PLANNED_STOP_RULE_H_
