#ifndef HISTORY_RULE_VERDICT_H_
#define HISTORY_RULE_VERDICT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "history/rule_finding.h"

namespace samphire {

enum class verdict_kind { kClean, kBroken, kNotJudged };

inline constexpr enum_names<verdict_kind, 3> kVerdictKindNames{{
    {verdict_kind::kClean, "clean"},
    {verdict_kind::kBroken, "BROKEN"},
    {verdict_kind::kNotJudged, "not judged"},
}};

// What one rule says of a history.
struct rule_verdict {
  std::string rule;
  // How many events it could judge; none means that it says nothing.
  std::uint64_t judged = 0;
  std::vector<rule_finding> findings{};

  verdict_kind kind() const {
    if (!findings.empty())
      return verdict_kind::kBroken;
    return judged == 0 ? verdict_kind::kNotJudged : verdict_kind::kClean;
  }
};

}  // namespace samphire

#endif  // HISTORY_RULE_VERDICT_H_
