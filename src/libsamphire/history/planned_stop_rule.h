#ifndef HISTORY_PLANNED_STOP_RULE_H_
#define HISTORY_PLANNED_STOP_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A planned stop cuts no request that is in progress.
class planned_stop_rule {
 public:
  static constexpr std::string_view kName = "planned-stop";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_PLANNED_STOP_RULE_H_
