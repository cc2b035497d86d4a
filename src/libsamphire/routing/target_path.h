#ifndef ROUTING_TARGET_PATH_H_
#define ROUTING_TARGET_PATH_H_

#include "base/enum_names.h"

namespace samphire {

// How an attempt reaches its target.
enum class target_path {
  kDirect,
  // Through another entry, which has a connection to the target.
  kRelayed,
};

inline constexpr enum_names<target_path, 2> kTargetPathNames{{
    {target_path::kDirect, "direct"},
    {target_path::kRelayed, "relayed"},
}};

}  // namespace samphire

#endif  // ROUTING_TARGET_PATH_H_
