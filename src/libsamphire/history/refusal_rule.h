#ifndef HISTORY_REFUSAL_RULE_H_
#define HISTORY_REFUSAL_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A request that is refused or expires gets its final answer at once (see
// history_limits::refusal_limit), and a refusal after which a retry makes sense
// has a Retry-After header. Judges each refusal and each abandoned request.
class refusal_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "refusal";

  // Judges a history. Stateless, so that any thread may call it.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_REFUSAL_RULE_H_
