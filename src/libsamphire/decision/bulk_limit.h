#ifndef DECISION_BULK_LIMIT_H_
#define DECISION_BULK_LIMIT_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Limits how many slots bulk work may use at one entry for one service, so that
// interactive work finds free ones. Not thread-safe.
class bulk_limit {
 public:
  // `percent` is the largest share of the slots, in 0..100, that bulk work may
  // use; 0 admits no bulk work at all.
  explicit bulk_limit(std::uint32_t percent) : percent_(percent) {}

  void SetPercent(std::uint32_t percent) { percent_ = percent; }

  // Reports that the number of interactive requests, running and queued
  // together, has changed to `count`.
  void OnInteractiveLoad(std::uint32_t count, time_point now);

  // Returns the maximum number of concurrent bulk requests out of `slots`
  // usable slots.
  std::uint32_t allowed(std::uint32_t slots) const;
  // Returns how long a bulk request, whose caller allows `whole_time` in all,
  // waits before it gets one slot regardless of the interactive load.
  duration starvation_limit(std::uint32_t slots, duration whole_time) const;

 private:
  std::uint32_t percent_;
  std::uint32_t current_ = 0;
  // Exponentially weighted average of the interactive demand, in requests.
  double mean_ = 0;
  time_point updated_;
};

}  // namespace samphire

#endif  // DECISION_BULK_LIMIT_H_
