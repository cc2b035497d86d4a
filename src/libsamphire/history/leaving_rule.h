#ifndef HISTORY_LEAVING_RULE_H_
#define HISTORY_LEAVING_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A target that is leaving starts no new run after a few seconds.
class leaving_rule {
 public:
  static constexpr std::string_view kName = "leaving-target";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_LEAVING_RULE_H_
