#ifndef SUPPORT_SLIDING_COUNT_H_
#define SUPPORT_SLIDING_COUNT_H_

#include <algorithm>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Counts events in sliding windows of time. Events must be added in the order
// of time.
class sliding_count {
 public:
  explicit sliding_count(milliseconds window) : window_(window) {}
  void Add(time_point now) { times_.push_back(now); }
  // Returns the number of events in the window that ends at `end`.
  double Count(time_point end) const {
    const auto last = std::upper_bound(times_.begin(), times_.end(), end);
    const auto first =
        std::upper_bound(times_.begin(), times_.end(), end - window_);
    return static_cast<double>(last - first);
  }
  // Returns the maximum of the window that ends at `end`, the one before it and
  // the one halfway between them.
  double RecentMax(time_point end) const {
    return std::max(
        {Count(end), Count(end - window_ / 2), Count(end - window_)});
  }

 private:
  const milliseconds window_;
  std::vector<time_point> times_;
};

}  // namespace samphire

#endif  // SUPPORT_SLIDING_COUNT_H_
