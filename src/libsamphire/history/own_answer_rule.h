#ifndef HISTORY_OWN_ANSWER_RULE_H_
#define HISTORY_OWN_ANSWER_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// Every caller gets the whole answer to its own request, and never anyone
// else's; what was cut short never looks whole.
class own_answer_rule {
 public:
  static constexpr std::string_view kName = "own-answer";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_OWN_ANSWER_RULE_H_
