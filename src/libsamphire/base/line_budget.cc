#include "base/line_budget.h"

#include <algorithm>
#include <utility>

namespace samphire {

bool line_budget::Take(log_level level, time_point now) {
  if (refilled_ != time_point{}) {
    const std::chrono::duration<double> passed = now - refilled_;
    lines_ = std::min(kBurst, lines_ + passed.count() * kLinesPerSecond);
  }
  refilled_ = now;
  const double floor = level >= log_level::kWarning ? 0 : kReserve;
  if (lines_ - 1 < floor) {
    ++dropped_;
    return false;
  }
  lines_ -= 1;
  return true;
}

std::uint64_t line_budget::TakeDropped() {
  return std::exchange(dropped_, 0);
}

}  // namespace samphire
