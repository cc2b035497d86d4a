#ifndef ROUTING_DECAYING_AVERAGE_H_
#define ROUTING_DECAYING_AVERAGE_H_

#include "base/clock_source.h"

namespace samphire {

// The mean over time of a value that changes in steps, where the past counts
// less the longer ago it is. Not thread-safe.
class decaying_average {
 public:
  explicit decaying_average(milliseconds memory) : memory_(memory) {}

  // The value is `value` from `now` on.
  void Set(double value, time_point now);
  double At(time_point now) const;

 private:
  milliseconds memory_;
  double value_ = 0;
  double average_ = 0;
  time_point set_at_;
};

}  // namespace samphire

#endif  // ROUTING_DECAYING_AVERAGE_H_
