#ifndef DECISION_QUARANTINE_DECISION_H_
#define DECISION_QUARANTINE_DECISION_H_

#include "base/enum_names.h"

namespace samphire {

// How a request with a given fingerprint may run.
enum class quarantine_decision {
  // Like any other request; nothing is known against it.
  kUnrestricted,
  // Alone on its target, and on one target at a time.
  kIsolate,
  // Another copy of this suspect is running; the request may be sent again when
  // that has ended.
  kWait,
  // Not at all: it has crashed several targets.
  kQuarantined,
};

inline constexpr enum_names<quarantine_decision, 4> kQuarantineDecisionNames{{
    {quarantine_decision::kUnrestricted, "innocent"},
    {quarantine_decision::kIsolate, "isolate"},
    {quarantine_decision::kWait, "wait"},
    {quarantine_decision::kQuarantined, "quarantined"},
}};

}  // namespace samphire

#endif  // DECISION_QUARANTINE_DECISION_H_
