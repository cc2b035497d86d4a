#ifndef ROUTING_RETRY_WINDOW_H_
#define ROUTING_RETRY_WINDOW_H_

#include <cstdint>
#include <deque>

#include "base/clock_source.h"
#include "routing/retry_bound.h"

namespace samphire {

// This entry's part of a bound on further attempts that holds for all entries
// together, over any window of time. Not thread-safe.
class retry_window {
 public:
  void OnRequest(time_point now) { requests_.push_back(now); }
  // Whether a further attempt is within the bound, which it then uses up.
  // `entries` 0: how many there are is not known yet.
  bool TryTake(const retry_bound& bound, std::size_t entries, time_point now);

 private:
  std::deque<time_point> requests_;
  std::deque<time_point> retries_;
};

}  // namespace samphire

#endif  // ROUTING_RETRY_WINDOW_H_
