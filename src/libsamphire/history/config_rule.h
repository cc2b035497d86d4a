#ifndef HISTORY_CONFIG_RULE_H_
#define HISTORY_CONFIG_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// An accepted configuration is in force at every entry within
// history_limits::config_limit, and no entry ever reverts to an older version.
// Judges every version that an entry reported, alone or with an answer.
class config_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "configuration";

  // Judges a history. Stateless, so that any thread may call it.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_CONFIG_RULE_H_
