#ifndef FRONT_RESPONSE_STATUS_H_
#define FRONT_RESPONSE_STATUS_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "decision/run_state.h"

namespace samphire {

// Outcome of a request as the entry reports it to the caller in response
// headers, whether the entry or a target produced the body.
struct response_status {
  result_code code = result_code::kOk;
  // Whether the request ran at a target.
  run_state run = run_state::kNotRun;
  // Version of the configuration under which the request was handled.
  std::uint64_t config_version = 0;
  // Time after which the caller may retry; sent only with codes that invite a
  // retry.
  milliseconds retry_after{0};
  // Whether the caller parses fractions of a second in Retry-After.
  bool fractional_retry_after = false;
  // Explanation for people, in the body of a refusal.
  std::string detail;
};

}  // namespace samphire

#endif  // FRONT_RESPONSE_STATUS_H_
