#ifndef BASE_LOG_RATE_LIMITER_H_
#define BASE_LOG_RATE_LIMITER_H_

#include <cstdint>

#include "base/clock_source.h"
#include "base/log_level.h"

namespace samphire {

// Token bucket that bounds the number of lines that a process logs. Lines below
// warning level, such as those about single requests, are dropped before
// warnings and errors, which concern the process, its dependencies and its
// failures. Not thread-safe.
class log_rate_limiter {
 public:
  // Takes one token and returns true if a line of this level may be written
  // now; otherwise counts the line as dropped. `now` must not decrease.
  bool TryAcquire(log_level level, time_point now);
  // Returns the number of lines dropped since the last call and resets it.
  std::uint64_t TakeDroppedCount();
  // Counts a line that was admitted but could not be written.
  void CountDropped() { ++dropped_; }

 private:
  double tokens_ = kBurstLines;
  time_point refilled_at_;
  std::uint64_t dropped_ = 0;

  // Refill rate. A busy entry serves a few hundred requests per second; 400
  // lines of about 300 bytes amount to 120 KB/s and use under 1% of a core.
  static constexpr double kLinesPerSecond = 400;
  // Capacity of the bucket.
  static constexpr double kBurstLines = 800;
  // Tokens that only warnings and errors may use.
  static constexpr double kReservedTokens = 200;
};

}  // namespace samphire

#endif  // BASE_LOG_RATE_LIMITER_H_
