#ifndef TRAFFIC_TARGET_LIMITER_H_
#define TRAFFIC_TARGET_LIMITER_H_

#include <map>
#include <string>

#include "base/clock_source.h"
#include "base/sharded.h"
#include "metrics/metrics.h"
#include "routing/known_rate_limit.h"
#include "routing/live_target.h"
#include "routing/target_notice.h"

namespace samphire {

// Keeps the rate limits that targets name in their responses. Thread-safe.
class target_limiter {
 public:
  target_limiter(const clock_source& clock, metrics& counters);

  // Must be called for each attempt that is about to be sent.
  void OnSend(const live_target& target);
  // Applies what the target said in its response to a request that was sent at
  // `sent_at`.
  void OnResponse(const live_target& target,
                  const target_notice& notice,
                  time_point sent_at);

 private:
  using limit_map = std::map<std::string, known_rate_limit, std::less<>>;

  const clock_source& clock_;
  metrics& metrics_;
  // The targets that have named a limit, by id.
  sharded<limit_map> limits_;
};

}  // namespace samphire

#endif  // TRAFFIC_TARGET_LIMITER_H_
