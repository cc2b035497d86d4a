#ifndef TRAFFIC_SERVICE_SHARDS_H_
#define TRAFFIC_SERVICE_SHARDS_H_

#include <map>
#include <string>
#include <utility>

#include "base/sharded.h"
#include "routing/mechanism_set.h"
#include "routing/placement_leases.h"
#include "routing/retry_window.h"
#include "routing/service_tracker.h"
#include "routing/weighted_split.h"

namespace samphire {

// What requests of one service share.
struct service_shard {
  explicit service_shard(const mechanism_set& without) : tracker(without) {}

  // Forgets the work of peers that did not tell of its end in time.
  void ReleaseExpired(const traffic_service* service, time_point now);

  service_tracker tracker;
  retry_window retries;
  // Of attempts that were placed here for peers.
  placement_leases leases;
};

// The state that requests decide by, each service's under a lock that few
// others share, and each route's division among services.
class service_shards {
 public:
  explicit service_shards(mechanism_set without = {})
      : without_(std::move(without)) {}

  // Calls `use` with what is known of the service, under its lock.
  template <typename F>
  auto WithService(const std::string& service, F use) {
    return services_.With(service, [&](auto& services) {
      return use(services.try_emplace(service, without_).first->second);
    });
  }
  template <typename F>
  auto WithSplit(const std::string& route, F use) {
    return splits_.With(route,
                        [&](auto& splits) { return use(splits[route]); });
  }

 private:
  const mechanism_set without_;
  sharded<std::map<std::string, service_shard>> services_;
  sharded<std::map<std::string, weighted_split>> splits_;
};

}  // namespace samphire

#endif  // TRAFFIC_SERVICE_SHARDS_H_
