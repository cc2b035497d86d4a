#ifndef HISTORY_REFUSAL_RULE_H_
#define HISTORY_REFUSAL_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A request that is given up on gets its final answer at once, and a refusal
// to come back from says when.
class refusal_rule {
 public:
  static constexpr std::string_view kName = "refusal";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_REFUSAL_RULE_H_
