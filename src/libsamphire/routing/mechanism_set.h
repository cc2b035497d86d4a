#ifndef ROUTING_MECHANISM_SET_H_
#define ROUTING_MECHANISM_SET_H_

#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "routing/placement_mechanism.h"

namespace samphire {

// Mechanisms that are disabled in placement. Empty in production.
using mechanism_set = std::set<placement_mechanism>;

// Converts the names of kPlacementMechanismNames to a set. Fails with
// kSchemaViolation if a name is unknown.
result<mechanism_set> ParseMechanisms(const std::vector<std::string>& names);

}  // namespace samphire

#endif  // ROUTING_MECHANISM_SET_H_
