#ifndef ROUTING_PERMIT_ROLE_H_
#define ROUTING_PERMIT_ROLE_H_

#include "base/enum_names.h"

namespace samphire {

// The role in which an entry grants permits of a limit.
enum class permit_role {
  // Selected for the limit among the region's entries by rendezvous hashing.
  kOwner,
  // Acts while the owner does not respond.
  kBackup,
  // Grants permits for its own requests only, since it reaches neither the
  // owner nor the backup.
  kAlone,
};

inline constexpr enum_names<permit_role, 3> kPermitRoleNames{{
    {permit_role::kOwner, "owner"},
    {permit_role::kBackup, "deputy"},
    {permit_role::kAlone, "alone"},
}};

}  // namespace samphire

#endif  // ROUTING_PERMIT_ROLE_H_
