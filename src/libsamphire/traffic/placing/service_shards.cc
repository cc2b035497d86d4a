#include "traffic/placing/service_shards.h"

namespace samphire {

void service_shard::ReleaseExpired(const traffic_service* service,
                                   time_point now) {
  for (const auto& lease : leases.TakeExpired(now)) {
    tracker.Ended(lease.request, lease.attempt,
                  {.result = attempt_result::kCallerGone}, service, now);
  }
}

}  // namespace samphire
