#include "routing/decaying_average.h"

#include <chrono>
#include <cmath>

namespace samphire {

void decaying_average::Set(double value, time_point now) {
  average_ = At(now);
  value_ = value;
  set_at_ = now;
}

double decaying_average::At(time_point now) const {
  const std::chrono::duration<double, std::milli> since = now - set_at_;
  const double past_share =
      std::exp(-since.count() / static_cast<double>(time_constant_.count()));
  return value_ + (average_ - value_) * past_share;
}

}  // namespace samphire
