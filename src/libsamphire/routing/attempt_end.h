#ifndef ROUTING_ATTEMPT_END_H_
#define ROUTING_ATTEMPT_END_H_

#include <cstdint>
#include <optional>

#include "base/clock_source.h"
#include "base/enum_names.h"
#include "routing/target_report.h"

namespace samphire {

// How one attempt at a target ended.
enum class attempt_result {
  kAnswered,
  // The target answered with a failure of its own.
  kTargetError,
  // The target said that it did not run the request.
  kTargetRefused,
  // Another process has the address.
  kMisdirected,
  kConnectFailed,
  // Sent, and no whole answer came.
  kLost,
  kTimedOut,
  kCallerGone,
};

inline constexpr enum_names<attempt_result, 8> kAttemptResultNames{{
    {attempt_result::kAnswered, "answered"},
    {attempt_result::kTargetError, "target-error"},
    {attempt_result::kTargetRefused, "target-refused"},
    {attempt_result::kMisdirected, "misdirected"},
    {attempt_result::kConnectFailed, "connect-failed"},
    {attempt_result::kLost, "lost"},
    {attempt_result::kTimedOut, "timed-out"},
    {attempt_result::kCallerGone, "caller-gone"},
}};

struct attempt_end {
  attempt_result result = attempt_result::kLost;
  // From the choice of the target to the head of its answer.
  duration took{0};
  // Of the request's body and the answer's; 0 if not known.
  std::uint64_t body_bytes = 0;
  std::optional<target_report> report;
};

}  // namespace samphire

#endif  // ROUTING_ATTEMPT_END_H_
