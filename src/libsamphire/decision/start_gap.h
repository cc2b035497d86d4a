#ifndef DECISION_START_GAP_H_
#define DECISION_START_GAP_H_

#include <cstdint>
#include <optional>

#include "base/clock_source.h"

namespace samphire {

// How long it takes from one start to the next while requests wait: the
// measured pace of the queue, loans and lost slots included.
class start_gap {
 public:
  // A waiter has started; `more_wait` tells whether others still wait.
  void OnStart(bool more_wait, time_point now);

  // None while there is no recent measurement.
  std::optional<duration> mean(time_point now) const;

 private:
  duration mean_{0};
  std::uint32_t samples_ = 0;
  bool open_ = false;
  time_point last_;
};

}  // namespace samphire

#endif  // DECISION_START_GAP_H_
