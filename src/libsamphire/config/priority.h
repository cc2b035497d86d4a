#ifndef CONFIG_PRIORITY_H_
#define CONFIG_PRIORITY_H_

#include "base/enum_names.h"

namespace samphire {

// Priority of a request class for load shedding: under overload, requests of
// lower priority are refused first.
enum class priority { kLow, kNormal, kHigh };

inline constexpr enum_names<priority, 3> kPriorityNames{{
    {priority::kLow, "low"},
    {priority::kNormal, "normal"},
    {priority::kHigh, "high"},
}};

}  // namespace samphire

#endif  // CONFIG_PRIORITY_H_
