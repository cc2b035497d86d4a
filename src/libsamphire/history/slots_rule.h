#ifndef HISTORY_SLOTS_RULE_H_
#define HISTORY_SLOTS_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// No target, and thus no region, is sent more requests at the same time than it
// has slots. Judges the peak of each target and region and each request that a
// target shed.
class slots_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "slots";

  // Judges a history. Stateless, so that any thread may call it. `limits` is
  // not used.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_SLOTS_RULE_H_
