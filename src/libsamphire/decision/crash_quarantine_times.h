#ifndef DECISION_CRASH_QUARANTINE_TIMES_H_
#define DECISION_CRASH_QUARANTINE_TIMES_H_

#include "base/clock_source.h"

namespace samphire {

// A suspect whose caller has not sent it again within this time is forgotten.
inline constexpr duration kSuspicionTime = std::chrono::minutes(10);
// Long enough for a program to be fixed or its operator to be called, and short
// enough that a fixed target receives its work again.
inline constexpr duration kQuarantineTime = std::chrono::hours(1);

}  // namespace samphire

#endif  // DECISION_CRASH_QUARANTINE_TIMES_H_
