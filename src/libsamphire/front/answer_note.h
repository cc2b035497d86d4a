#ifndef FRONT_ANSWER_NOTE_H_
#define FRONT_ANSWER_NOTE_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "base/result_code.h"
#include "decision/run_state.h"

namespace samphire {

// What the entry itself says on an answer, whoever made the body.
struct answer_note {
  result_code code = result_code::kOk;
  run_state run = run_state::kNotRun;
  std::uint64_t config_version = 0;
  milliseconds retry_after{0};
  // Whether the caller reads fractions of a second in Retry-After.
  bool fine_retry_after = false;
  std::string detail;
};

}  // namespace samphire

#endif  // FRONT_ANSWER_NOTE_H_
