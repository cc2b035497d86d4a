#ifndef DECISION_REFUSAL_H_
#define DECISION_REFUSAL_H_

#include "base/clock_source.h"
#include "base/result_code.h"

namespace samphire {

// Decision not to run a request, and after what time the caller may retry.
struct refusal {
  result_code reason = result_code::kOk;
  milliseconds retry_after{0};
};

}  // namespace samphire

#endif  // DECISION_REFUSAL_H_
