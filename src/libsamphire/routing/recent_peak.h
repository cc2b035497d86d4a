#ifndef ROUTING_RECENT_PEAK_H_
#define ROUTING_RECENT_PEAK_H_

#include <cstddef>
#include <deque>
#include <utility>

#include "base/clock_source.h"

namespace samphire {

// The largest value of a window of time that ends now. Not thread-safe.
class recent_peak {
 public:
  explicit recent_peak(milliseconds window) : window_(window) {}

  // Takes a value in and returns the largest of the window, it included.
  std::size_t Note(std::size_t value, time_point now);

 private:
  const milliseconds window_;
  // Falling values, each the largest of all that came after it.
  std::deque<std::pair<time_point, std::size_t>> peaks_;
};

}  // namespace samphire

#endif  // ROUTING_RECENT_PEAK_H_
