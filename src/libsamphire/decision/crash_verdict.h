#ifndef DECISION_CRASH_VERDICT_H_
#define DECISION_CRASH_VERDICT_H_

#include "base/enum_names.h"

namespace samphire {

// How a request with this fingerprint may run.
enum class crash_verdict {
  kInnocent,
  // Alone on its target, and on one target at a time.
  kIsolate,
  // Another copy of this suspect is running: come back when it has ended.
  kWait,
  kQuarantined,
};

inline constexpr enum_names<crash_verdict, 4> kCrashVerdictNames{{
    {crash_verdict::kInnocent, "innocent"},
    {crash_verdict::kIsolate, "isolate"},
    {crash_verdict::kWait, "wait"},
    {crash_verdict::kQuarantined, "quarantined"},
}};

}  // namespace samphire

#endif  // DECISION_CRASH_VERDICT_H_
