#ifndef DECISION_SERVICE_TIME_H_
#define DECISION_SERVICE_TIME_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Running estimate of the service time of a stream of requests. Not
// thread-safe.
class service_time {
 public:
  // `prior` is used until the first sample.
  explicit service_time(duration prior) : mean_(prior), tail_(prior) {}

  void Add(duration sample);

  // Exponentially weighted mean.
  duration mean() const { return mean_; }
  // Estimate of the longest service time: rises to each longer sample at once
  // and decays towards the mean over several thousand samples.
  duration tail() const { return tail_; }
  // Whether there has been any sample.
  bool measured() const { return samples_ > 0; }

 private:
  duration mean_;
  duration tail_;
  std::uint64_t samples_ = 0;
};

}  // namespace samphire

#endif  // DECISION_SERVICE_TIME_H_
