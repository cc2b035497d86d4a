#ifndef TRAFFIC_LIMITS_TEAM_PERMIT_H_
#define TRAFFIC_LIMITS_TEAM_PERMIT_H_

#include <string>

#include "routing/permit_decision.h"
#include "routing/permit_role.h"

namespace samphire {

// The decision whether one run of a team's request is allowed, and the entry
// that made it.
struct team_permit {
  permit_decision decision;
  // The role in which that entry decided.
  permit_role role = permit_role::kOwner;
  // Peer address of the entry that decided; empty for this entry.
  std::string grantor_address;
};

}  // namespace samphire

#endif  // TRAFFIC_LIMITS_TEAM_PERMIT_H_
