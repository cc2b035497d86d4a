#ifndef ROUTING_ATTEMPT_END_H_
#define ROUTING_ATTEMPT_END_H_

#include <cstdint>
#include <optional>

#include "base/clock_source.h"
#include "base/enum_names.h"
#include "routing/target_notice.h"
#include "routing/target_report.h"

namespace samphire {

// The result of one attempt to run a request on a target.
enum class attempt_result {
  kAnswered,
  // The target ran the request and responded with an error of its own.
  kTargetError,
  // The target responded that it did not run the request.
  kTargetRefused,
  // The address now belongs to another process than the intended target.
  kMisdirected,
  kConnectFailed,
  // The request was sent, but no complete response arrived, or one without the
  // stamp of a target that ran the request.
  kLost,
  kTimedOut,
  // The attempt ended without evidence for or against the target: the caller
  // disconnected or sent an invalid, too long or late body, the attempt was
  // never made, or its placement lease expired.
  kCallerGone,
  // The attempt was not made: neither this entry nor another one that it asked
  // has a connection to the target. No evidence about the target.
  kNotSent,
};

inline constexpr enum_names<attempt_result, 9> kAttemptResultNames{{
    {attempt_result::kAnswered, "answered"},
    {attempt_result::kTargetError, "target-error"},
    {attempt_result::kTargetRefused, "target-refused"},
    {attempt_result::kMisdirected, "misdirected"},
    {attempt_result::kConnectFailed, "connect-failed"},
    {attempt_result::kLost, "lost"},
    {attempt_result::kTimedOut, "timed-out"},
    {attempt_result::kCallerGone, "caller-gone"},
    {attempt_result::kNotSent, "not-sent"},
}};

// Describes the end of one attempt to the component that placed it.
struct attempt_end {
  attempt_result result = attempt_result::kLost;
  // Time from the end of sending the request to the header of the response; the
  // time of the whole attempt if no header arrived.
  duration took{0};
  // Sum of the request's and the response's body sizes; 0 if not known.
  std::uint64_t body_bytes = 0;
  // The load that the target reported with the response, if any.
  std::optional<target_report> report;
  // What the target asked for with the response; nothing if there was no
  // response of the target or it could not be parsed.
  std::optional<target_notice> notice;
};

}  // namespace samphire

#endif  // ROUTING_ATTEMPT_END_H_
