#ifndef HISTORY_FRESH_LEVEL_RULE_H_
#define HISTORY_FRESH_LEVEL_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A level is the one that the request's own run measured, as old as it says.
class fresh_level_rule {
 public:
  static constexpr std::string_view kName = "fresh-level";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_FRESH_LEVEL_RULE_H_
