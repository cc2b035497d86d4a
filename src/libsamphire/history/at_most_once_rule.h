#ifndef HISTORY_AT_MOST_ONCE_RULE_H_
#define HISTORY_AT_MOST_ONCE_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A request that carries an idempotency key runs at most once, however often
// it is sent.
class at_most_once_rule {
 public:
  static constexpr std::string_view kName = "at-most-once";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_AT_MOST_ONCE_RULE_H_
