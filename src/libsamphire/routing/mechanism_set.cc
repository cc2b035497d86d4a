#include "routing/mechanism_set.h"

namespace samphire {

// Rejects unknown names. If they were ignored, a misspelt mechanism would stay
// enabled, and a measurement without it would give wrong results.
result<mechanism_set> ParseMechanisms(const std::vector<std::string>& names) {
  mechanism_set set;
  for (const auto& name : names) {
    const auto mechanism = ValueOf(kPlacementMechanismNames, name);
    if (!mechanism)
      return MakeError(result_code::kSchemaViolation,
                       "unknown placement mechanism: " + name);
    set.insert(*mechanism);
  }
  return set;
}

}  // namespace samphire
