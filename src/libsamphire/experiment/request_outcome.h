#ifndef EXPERIMENT_REQUEST_OUTCOME_H_
#define EXPERIMENT_REQUEST_OUTCOME_H_

#include <cstdint>

#include "base/clock_source.h"
#include "history/answer_body.h"

namespace samphire {

// What became of one request after all its sendings.
struct request_outcome {
  std::uint32_t stream = 0;
  // When it was to be sent, from the start of the run.
  duration at{0};
  // From then to the final answer, waits and repeats included.
  duration latency{0};
  duration deadline{0};
  std::int64_t status = 0;
  std::int64_t result = -1;
  answer_body body = answer_body::kLost;
  std::uint32_t attempts = 1;

  // Whole and in time: what the caller wanted.
  bool good() const {
    return body == answer_body::kWhole && latency <= deadline;
  }
};

}  // namespace samphire

#endif  // EXPERIMENT_REQUEST_OUTCOME_H_
