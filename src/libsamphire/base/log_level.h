#ifndef BASE_LOG_LEVEL_H_
#define BASE_LOG_LEVEL_H_

#include "base/enum_names.h"

namespace samphire {

// Severity of a log line, in increasing order.
enum class log_level { kDebug, kInfo, kWarning, kError };

inline constexpr enum_names<log_level, 4> kLogLevelNames{{
    {log_level::kDebug, "debug"},
    {log_level::kInfo, "info"},
    {log_level::kWarning, "warning"},
    {log_level::kError, "error"},
}};

}  // namespace samphire

#endif  // BASE_LOG_LEVEL_H_
