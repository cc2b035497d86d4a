#ifndef ROUTING_RECENT_PEAK_H_
#define ROUTING_RECENT_PEAK_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "base/clock_source.h"

namespace samphire {

// The maximum of a value over a sliding window of time that ends now. Not
// thread-safe.
class recent_peak {
 public:
  explicit recent_peak(milliseconds window) : window_(window) {}

  // Adds a value and returns the maximum over the window, including `value`.
  // `now` must not decrease between calls.
  std::size_t Add(std::size_t value, time_point now);

 private:
  const milliseconds window_;
  // Values in decreasing order; each is the maximum of all values added after
  // it.
  std::deque<std::pair<time_point, std::size_t>> peaks_;
};

}  // namespace samphire

#endif  // ROUTING_RECENT_PEAK_H_
