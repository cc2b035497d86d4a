#ifndef BASE_CLOCK_SOURCE_H_
#define BASE_CLOCK_SOURCE_H_

#include <chrono>

namespace samphire {

// Monotonic time: what every lease, deadline and timeout is counted in.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

// Time of day: only for what people declare or read, such as a drain's start.
using wall_time = std::chrono::system_clock::time_point;

// Where the shell around the decision logic reads the time. Decision logic
// itself takes the time as a parameter.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual time_point now() const = 0;
  virtual wall_time wall_now() const = 0;
};

}  // namespace samphire

#endif  // BASE_CLOCK_SOURCE_H_
