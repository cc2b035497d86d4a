#ifndef HISTORY_OWN_ANSWER_RULE_H_
#define HISTORY_OWN_ANSWER_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// Every caller gets the complete answer to its own request and never the answer
// to another one, and a truncated answer never looks complete. Judges the
// answers that look complete.
class own_answer_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "own-answer";

  // Judges a history. Stateless, so that any thread may call it. `limits` is
  // not used.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_OWN_ANSWER_RULE_H_
