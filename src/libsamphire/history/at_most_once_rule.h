#ifndef HISTORY_AT_MOST_ONCE_RULE_H_
#define HISTORY_AT_MOST_ONCE_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A request that carries an idempotency key runs at most once in its service,
// however often it is sent. Judges each key of each service.
class at_most_once_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "at-most-once";

  // Judges a history. Stateless, so that any thread may call it. `limits` is
  // not used.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_AT_MOST_ONCE_RULE_H_
