#ifndef TRAFFIC_SERVICE_SHARDS_H_
#define TRAFFIC_SERVICE_SHARDS_H_

#include <map>
#include <string>

#include "base/sharded.h"
#include "routing/mechanism_set.h"
#include "routing/retry_window.h"
#include "routing/service_tracker.h"
#include "routing/weighted_split.h"

namespace samphire {

// What requests of one service share.
struct service_shard {
  explicit service_shard(const mechanism_set& without = {})
      : tracker(without) {}

  service_tracker tracker;
  retry_window retries;
};

// The state that requests decide by, each service's under a lock that few
// others share, and each route's division among services.
struct service_shards {
  sharded<std::map<std::string, service_shard>> services;
  sharded<std::map<std::string, weighted_split>> splits;
};

}  // namespace samphire

#endif  // TRAFFIC_SERVICE_SHARDS_H_
