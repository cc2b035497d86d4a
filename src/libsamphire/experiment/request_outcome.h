#ifndef EXPERIMENT_REQUEST_OUTCOME_H_
#define EXPERIMENT_REQUEST_OUTCOME_H_

#include <cstdint>

#include "base/clock_source.h"
#include "history/answer_body.h"

namespace samphire {

// Final result of one request after all its attempts.
struct request_outcome {
  // Index into scenario::streams.
  std::uint32_t stream = 0;
  // Intended send time, from the start of the run.
  duration at{0};
  // From `at` to the final answer, including retries and the waits before them.
  duration latency{0};
  // Longest latency that the caller accepts, measured from `at`.
  duration deadline{0};
  // Of the final attempt, as in request_answered: HTTP status (0 without a
  // response), number of the result code (-1 without one), state of the body.
  std::int64_t status = 0;
  std::int64_t result = -1;
  answer_body body = answer_body::kLost;
  std::uint32_t attempts = 1;

  // Whether the answer is complete and arrived within the deadline.
  bool good() const {
    return body == answer_body::kComplete && latency <= deadline;
  }
};

}  // namespace samphire

#endif  // EXPERIMENT_REQUEST_OUTCOME_H_
