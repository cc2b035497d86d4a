#ifndef ROUTING_MECHANISM_SET_H_
#define ROUTING_MECHANISM_SET_H_

#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "routing/placing_mechanism.h"

namespace samphire {

// The mechanisms that placing is to do without; usually none.
using mechanism_set = std::set<placing_mechanism>;

// The set of these names. kSchemaViolation where a name means nothing.
result<mechanism_set> MechanismsOf(const std::vector<std::string>& names);

}  // namespace samphire

#endif  // ROUTING_MECHANISM_SET_H_
