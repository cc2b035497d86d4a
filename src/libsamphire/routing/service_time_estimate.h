#ifndef ROUTING_SERVICE_TIME_ESTIMATE_H_
#define ROUTING_SERVICE_TIME_ESTIMATE_H_

#include "base/clock_source.h"

namespace samphire {

// How long a target works on a request of one route, apart from queueing:
// with its key in memory and without.
class service_time_estimate {
 public:
  // Until answers tell, the objective is taken for the time without the key.
  explicit service_time_estimate(milliseconds objective);

  void Learn(bool knows_key, double ms);
  double Ms(bool knows_key) const { return knows_key ? warm_ms_ : cold_ms_; }

 private:
  double warm_ms_;
  double cold_ms_;
};

}  // namespace samphire

#endif  // ROUTING_SERVICE_TIME_ESTIMATE_H_
