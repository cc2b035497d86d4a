#ifndef HISTORY_SLOTS_RULE_H_
#define HISTORY_SLOTS_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// No target, and so no region, is sent more work at once than it can carry.
class slots_rule {
 public:
  static constexpr std::string_view kName = "slots";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_SLOTS_RULE_H_
