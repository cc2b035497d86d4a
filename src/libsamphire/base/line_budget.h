#ifndef BASE_LINE_BUDGET_H_
#define BASE_LINE_BUDGET_H_

#include <cstdint>

#include "base/clock_source.h"
#include "base/log_level.h"

namespace samphire {

// Bounds the lines that a process logs. Lines about single requests give way
// before those about the process, its dependencies and its errors. Not
// thread-safe.
class line_budget {
 public:
  // Whether a line may be written now; counts those that may not.
  bool Take(log_level level, time_point now);
  // Lines dropped since this was last asked.
  std::uint64_t TakeDropped();
  void CountDropped() { ++dropped_; }

 private:
  double lines_ = kBurst;
  time_point refilled_;
  std::uint64_t dropped_ = 0;

  // A busy entry answers some hundred requests a second; 400 lines of some 300
  // bytes are 120 KB/s and under 1% of a core.
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kBurst = 800;
  // Kept for warnings and errors.
  static constexpr double kReserve = 200;
};

}  // namespace samphire

#endif  // BASE_LINE_BUDGET_H_
