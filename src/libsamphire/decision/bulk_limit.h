#ifndef DECISION_BULK_LIMIT_H_
#define DECISION_BULK_LIMIT_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// How many slots bulk work may hold at one entry.
class bulk_limit {
 public:
  explicit bulk_limit(std::uint32_t percent) : percent_(percent) {}

  void SetPercent(std::uint32_t percent) { percent_ = percent; }

  // The number of interactive requests running and waiting has changed.
  void OnInteractiveLoad(std::uint32_t count, time_point now);

  // The most bulk requests at once when `slots` are held.
  std::uint32_t allowed(std::uint32_t slots) const;
  // How long bulk work waits, out of the time that its caller has, before it
  // gets one slot whatever the interactive load.
  duration patience(std::uint32_t slots, duration whole_time) const;

 private:
  std::uint32_t percent_;
  std::uint32_t current_ = 0;
  double mean_ = 0;
  time_point updated_;
};

}  // namespace samphire

#endif  // DECISION_BULK_LIMIT_H_
