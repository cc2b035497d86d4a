#ifndef DISTRIBUTION_WITNESS_CHECK_H_
#define DISTRIBUTION_WITNESS_CHECK_H_

#include <string>
#include <vector>

#include "config/declaration.h"

namespace samphire {

// The witnessed request classes ("SERVICE/CLASS") that differ between the two
// declarations, and the limits that bear on them. Empty: no second operator
// is needed.
std::vector<std::string> WitnessedChanges(const declaration& present,
                                          const declaration& wanted);

}  // namespace samphire

#endif  // DISTRIBUTION_WITNESS_CHECK_H_
