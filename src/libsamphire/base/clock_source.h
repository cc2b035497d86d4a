#ifndef BASE_CLOCK_SOURCE_H_
#define BASE_CLOCK_SOURCE_H_

#include <chrono>

namespace samphire {

// Monotonic time, in which all leases, deadlines and timeouts are measured. It
// is not comparable between machines.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

// Time of day, used only for times that people write or read, such as the start
// of a drain.
using wall_time = std::chrono::system_clock::time_point;

// Interface through which I/O code around the decision logic reads the time.
// The decision logic itself takes the time as a parameter, so that it is
// deterministic under test.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual time_point now() const = 0;
  virtual wall_time wall_now() const = 0;
};

}  // namespace samphire

#endif  // BASE_CLOCK_SOURCE_H_
