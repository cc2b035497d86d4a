#ifndef HISTORY_RULE_VERDICT_H_
#define HISTORY_RULE_VERDICT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "history/rule_finding.h"

namespace samphire {

// kNotJudged: the history has no event that the rule applies to.
enum class verdict_kind { kClean, kViolated, kNotJudged };

inline constexpr enum_names<verdict_kind, 3> kVerdictKindNames{{
    {verdict_kind::kClean, "clean"},
    {verdict_kind::kViolated, "BROKEN"},
    {verdict_kind::kNotJudged, "not judged"},
}};

// Result of one rule for a history.
struct rule_verdict {
  // Name of the rule.
  std::string rule;
  // Number of cases that the rule could judge; with 0 it says nothing about the
  // history.
  std::uint64_t judged = 0;
  std::vector<rule_finding> findings{};

  verdict_kind kind() const {
    if (!findings.empty())
      return verdict_kind::kViolated;
    return judged == 0 ? verdict_kind::kNotJudged : verdict_kind::kClean;
  }
};

}  // namespace samphire

#endif  // HISTORY_RULE_VERDICT_H_
