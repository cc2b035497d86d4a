#ifndef ROUTING_DECAYING_AVERAGE_H_
#define ROUTING_DECAYING_AVERAGE_H_

#include "base/clock_source.h"

namespace samphire {

// The exponentially weighted mean over time of a value that changes in steps:
// the weight of the past decreases by a factor of e per time constant. Not
// thread-safe.
class decaying_average {
 public:
  explicit decaying_average(milliseconds time_constant)
      : time_constant_(time_constant) {}

  // Sets the value that holds from `now` on.
  void Set(double value, time_point now);
  // Returns the mean at `now`, which must not be before the last Set().
  double At(time_point now) const;

 private:
  milliseconds time_constant_;
  double value_ = 0;
  double average_ = 0;
  time_point set_at_;
};

}  // namespace samphire

#endif  // ROUTING_DECAYING_AVERAGE_H_
