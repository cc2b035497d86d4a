#ifndef CONFIG_DRAIN_SCOPE_H_
#define CONFIG_DRAIN_SCOPE_H_

#include "base/enum_names.h"

namespace samphire {

// The kind of unit that a drain applies to.
enum class drain_scope { kTarget, kFailureDomain, kRegion };

inline constexpr enum_names<drain_scope, 3> kDrainScopeNames{{
    {drain_scope::kTarget, "target"},
    {drain_scope::kFailureDomain, "failure_domain"},
    {drain_scope::kRegion, "region"},
}};

}  // namespace samphire

#endif  // CONFIG_DRAIN_SCOPE_H_
