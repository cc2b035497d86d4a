#ifndef DECISION_EJECTION_CAUSE_H_
#define DECISION_EJECTION_CAUSE_H_

#include "base/enum_names.h"

namespace samphire {

// Why a target was ejected, that is, receives no work for a backoff period.
enum class ejection_cause { kFailures, kSlowness, kFailedProbe };

inline constexpr enum_names<ejection_cause, 3> kEjectionCauseNames{{
    {ejection_cause::kFailures, "failures"},
    {ejection_cause::kSlowness, "slowness"},
    {ejection_cause::kFailedProbe, "failed-probe"},
}};

}  // namespace samphire

#endif  // DECISION_EJECTION_CAUSE_H_
