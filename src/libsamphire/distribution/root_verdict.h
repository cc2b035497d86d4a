#ifndef DISTRIBUTION_ROOT_VERDICT_H_
#define DISTRIBUTION_ROOT_VERDICT_H_

#include "base/enum_names.h"

namespace samphire {

// How a root, or a version announced by a peer, compares to the one that an
// entry has in force. kDiffers: the same version with another digest.
enum class root_verdict { kCurrent, kNewer, kOlder, kDiffers };

inline constexpr enum_names<root_verdict, 4> kRootVerdictNames{{
    {root_verdict::kCurrent, "current"},
    {root_verdict::kNewer, "newer"},
    {root_verdict::kOlder, "older"},
    {root_verdict::kDiffers, "differs"},
}};

}  // namespace samphire

#endif  // DISTRIBUTION_ROOT_VERDICT_H_
