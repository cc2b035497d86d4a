#ifndef DECISION_REFUSAL_COUNT_H_
#define DECISION_REFUSAL_COUNT_H_

#include <cstdint>

#include "base/result_code.h"

namespace samphire {

// How many requests a dispatcher has refused for one reason since it was
// created.
struct refusal_count {
  result_code reason = result_code::kOk;
  std::uint64_t count = 0;
};

}  // namespace samphire

#endif  // DECISION_REFUSAL_COUNT_H_
