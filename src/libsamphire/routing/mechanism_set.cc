#include "routing/mechanism_set.h"

namespace samphire {

// A name that means nothing would leave its mechanism on, and the figures of a
// trial would then be taken for what it is worth.
result<mechanism_set> MechanismsOf(const std::vector<std::string>& names) {
  mechanism_set set;
  for (const auto& name : names) {
    const auto mechanism = ValueOf(kPlacingMechanismNames, name);
    if (!mechanism)
      return MakeError(result_code::kSchemaViolation,
                       "no such mechanism: " + name);
    set.insert(*mechanism);
  }
  return set;
}

}  // namespace samphire
