#ifndef TRAFFIC_LIMITS_TARGET_NOTICES_H_
#define TRAFFIC_LIMITS_TARGET_NOTICES_H_

#include "base/clock_source.h"
#include "routing/live_target.h"
#include "routing/target_notice.h"
#include "traffic/limits/target_limiter.h"
#include "traffic/limits/target_news_channel.h"
#include "traffic/placing/service_shards.h"

namespace samphire {

// Applies what targets ask for in their responses to the choice of targets, and
// tells the other entries what concerns them too. Holds without the platform:
// what its store says of a target may be outdated. Thread-safe.
class target_notices {
 public:
  target_notices(service_shards& shards,
                 target_limiter& limiter,
                 target_news_channel& news,
                 const clock_source& clock);

  // Applies the response of a target of `target.service` to a request that was
  // sent at `sent_at`.
  void OnResponse(const live_target& target,
                  const target_notice& notice,
                  time_point sent_at);
  // Applies what another entry heard.
  void OnNews(const target_news& news);

 private:
  void OnPause(const live_target& target, milliseconds pause);
  // Returns whether the target was not known to leave yet.
  bool OnLeaving(const live_target& target, const char* source);

  service_shards& shards_;
  target_limiter& limiter_;
  target_news_channel& news_;
  const clock_source& clock_;
};

}  // namespace samphire

#endif  // TRAFFIC_LIMITS_TARGET_NOTICES_H_
