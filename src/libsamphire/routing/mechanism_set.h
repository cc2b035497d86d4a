#ifndef ROUTING_MECHANISM_SET_H_
#define ROUTING_MECHANISM_SET_H_

#include <cstddef>
#include <set>

#include "routing/placing_mechanism.h"

namespace samphire {

// The mechanisms that placing is to do without; usually none.
using mechanism_set = std::set<placing_mechanism>;

}  // namespace samphire

#endif  // ROUTING_MECHANISM_SET_H_
