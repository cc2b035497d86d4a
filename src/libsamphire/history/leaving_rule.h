#ifndef HISTORY_LEAVING_RULE_H_
#define HISTORY_LEAVING_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A target that is being drained starts no new run later than
// history_limits::leaving_limit after the drain began. Judges each drain.
class leaving_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "leaving-target";

  // Judges a history. Stateless, so that any thread may call it.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_LEAVING_RULE_H_
