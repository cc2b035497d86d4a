#ifndef HISTORY_CONFIG_RULE_H_
#define HISTORY_CONFIG_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// An accepted configuration is in force everywhere within seconds and never
// goes back.
class config_rule {
 public:
  static constexpr std::string_view kName = "configuration";

  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_CONFIG_RULE_H_
