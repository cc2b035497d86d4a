#ifndef HISTORY_SHIFT_CAP_RULE_H_
#define HISTORY_SHIFT_CAP_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// The number of runs of one region's callers in another region never exceeds
// the declared shift cap; without a cap for the pair of regions, none is
// allowed. Judges each pair with such runs, if any cap is declared.
class shift_cap_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "shift-cap";

  // Judges a history. Stateless, so that any thread may call it. `limits` is
  // not used.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_SHIFT_CAP_RULE_H_
