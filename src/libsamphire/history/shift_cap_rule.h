#ifndef HISTORY_SHIFT_CAP_RULE_H_
#define HISTORY_SHIFT_CAP_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// The work of one region's callers in another never exceeds the declared cap.
class shift_cap_rule {
 public:
  static constexpr std::string_view kName = "shift-cap";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_SHIFT_CAP_RULE_H_
