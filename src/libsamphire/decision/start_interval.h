#ifndef DECISION_START_INTERVAL_H_
#define DECISION_START_INTERVAL_H_

#include <cstdint>
#include <optional>

#include "base/clock_source.h"

namespace samphire {

// Measures the mean time from one start to the next while requests wait: the
// inverse of the service rate of the queue, loans and lost slots included. Not
// thread-safe.
class start_interval {
 public:
  // Reports that a waiting request has started; `more_wait` tells whether
  // others are still waiting.
  void OnStart(bool more_wait, time_point now);

  // Returns none while there is no recent measurement.
  std::optional<duration> mean(time_point now) const;

 private:
  duration mean_{0};
  std::uint32_t samples_ = 0;
  // Whether requests were still waiting after the last start.
  bool others_waited_ = false;
  time_point last_;
};

}  // namespace samphire

#endif  // DECISION_START_INTERVAL_H_
