#include "base/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace samphire {

bool log_rate_limiter::TryAcquire(log_level level, time_point now) {
  if (refilled_at_ != time_point{}) {
    const std::chrono::duration<double> passed = now - refilled_at_;
    tokens_ = std::min(kBurstLines, tokens_ + passed.count() * kLinesPerSecond);
  }
  refilled_at_ = now;
  const double min_tokens = level >= log_level::kWarning ? 0 : kReservedTokens;
  if (tokens_ - 1 < min_tokens) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

std::uint64_t log_rate_limiter::TakeDroppedCount() {
  return std::exchange(dropped_, 0);
}

}  // namespace samphire
