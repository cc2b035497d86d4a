#ifndef HISTORY_NOT_RUN_RULE_H_
#define HISTORY_NOT_RUN_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// When a caller is told "not run", the request never ran at any target.
class not_run_rule {
 public:
  static constexpr std::string_view kName = "not-run";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_NOT_RUN_RULE_H_
