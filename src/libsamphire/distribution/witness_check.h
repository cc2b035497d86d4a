#ifndef DISTRIBUTION_WITNESS_CHECK_H_
#define DISTRIBUTION_WITNESS_CHECK_H_

#include <string>
#include <vector>

#include "config/declaration.h"

namespace samphire {

// A declaration may mark a request class as witnessed: a second operator, the
// witness, must then accept each change of it. Returns the witnessed request
// classes ("SERVICE/CLASS") that differ between the two declarations, and
// "limits/ledger" if the ledger limits that affect them differ. Empty if no
// second operator is needed.
std::vector<std::string> WitnessedChanges(const declaration& current,
                                          const declaration& wanted);

}  // namespace samphire

#endif  // DISTRIBUTION_WITNESS_CHECK_H_
