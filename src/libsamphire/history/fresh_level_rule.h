#ifndef HISTORY_FRESH_LEVEL_RULE_H_
#define HISTORY_FRESH_LEVEL_RULE_H_

#include <string_view>

#include "history/history_index.h"
#include "history/history_limits.h"
#include "history/rule_verdict.h"

namespace samphire {

// A measured level in an answer comes from the run of the request itself, not
// from an earlier one, and has an Age header that does not overstate its age.
// Judges complete answers that are not replayed, if targets recorded a history.
class fresh_level_rule {
 public:
  // Name of the rule in verdicts.
  static constexpr std::string_view kName = "fresh-level";

  // Judges a history. Stateless, so that any thread may call it. `limits` is
  // not used.
  rule_verdict Judge(const history_index& history,
                     const history_limits& limits) const;
};

}  // namespace samphire

#endif  // HISTORY_FRESH_LEVEL_RULE_H_
