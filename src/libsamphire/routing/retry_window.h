#ifndef ROUTING_RETRY_WINDOW_H_
#define ROUTING_RETRY_WINDOW_H_

#include <cstdint>
#include <deque>

#include "base/clock_source.h"
#include "routing/retry_bound.h"
#include "routing/retry_share.h"

namespace samphire {

// Enforces one entry's share of a retry_bound, which holds for all entries
// together over any window of time. Not thread-safe.
class retry_window {
 public:
  // Counts a request, which raises the bound on retries.
  void OnRequest(time_point now) { requests_.push_back(now); }
  // Returns whether one more attempt is within the bound, and counts it if so.
  bool TryTake(const retry_bound& bound,
               const retry_share& share,
               time_point now);
  // Whether TryTake() would succeed.
  bool HasRoom(const retry_bound& bound,
               const retry_share& share,
               time_point now);

 private:
  std::deque<time_point> requests_;
  std::deque<time_point> retries_;
};

}  // namespace samphire

#endif  // ROUTING_RETRY_WINDOW_H_
