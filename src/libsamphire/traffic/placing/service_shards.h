#ifndef TRAFFIC_PLACING_SERVICE_SHARDS_H_
#define TRAFFIC_PLACING_SERVICE_SHARDS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "base/sharded.h"
#include "routing/mechanism_set.h"
#include "routing/placement_leases.h"
#include "routing/retry_window.h"
#include "routing/service_tracker.h"
#include "routing/weighted_split.h"

namespace samphire {

// State that all requests of one service share. Accessed under the lock that
// service_shards holds.
struct service_shard {
  explicit service_shard(const mechanism_set& disabled_mechanisms)
      : tracker(disabled_mechanisms) {}

  // Ends the leases that have expired because a peer did not report the end of
  // its attempt in time, and removes their load.
  void ReleaseExpired(const traffic_service* service, time_point now);

  service_tracker tracker;
  retry_window retries;
  // Leases of the attempts that this entry placed for peers.
  placement_leases leases;
};

// The state on which placement decisions depend: that of each service, and the
// weighted split of each route among services. Divided into shards with a lock
// each, so that requests for different services rarely contend. Thread-safe.
class service_shards {
 public:
  // `disabled_mechanisms` are left out of placement.
  explicit service_shards(mechanism_set disabled_mechanisms = {})
      : disabled_mechanisms_(std::move(disabled_mechanisms)) {}

  // Calls `use` with the service's state while holding its lock, and returns
  // the result. `use` must not block.
  template <typename F>
  auto WithService(const std::string& service, F use) {
    return services_.With(service, [&](auto& services) {
      return use(
          services.try_emplace(service, disabled_mechanisms_).first->second);
    });
  }
  // Calls `use` with the split of the route, likewise. Forgets the splits of
  // other routes that have had no requests for a while: they may be gone.
  template <typename F>
  auto WithSplit(const std::string& route, time_point now, F use) {
    return splits_.With(route, [&](auto& splits) {
      if (!splits.contains(route)) {
        std::erase_if(splits, [now](const auto& each) {
          return each.second.IsOutdated(now);
        });
      }
      return use(splits.try_emplace(route, SplitSeed(route)).first->second);
    });
  }
  // Calls `visit` with the name and the split of each route.
  template <typename F>
  void ForEachSplit(F visit) {
    splits_.ForEach([&](auto& splits) {
      for (const auto& [route, split] : splits)
        visit(route, split);
    });
  }

 private:
  std::uint64_t SplitSeed(const std::string& route) const {
    return split_seed_ ^ std::hash<std::string>{}(route);
  }

  const mechanism_set disabled_mechanisms_;
  // Differs between entries, and between runs of one.
  const std::uint64_t split_seed_ =
      (std::uint64_t{std::random_device{}()} << 32U) | std::random_device{}();
  sharded<std::map<std::string, service_shard>> services_;
  sharded<std::map<std::string, weighted_split>> splits_;
};

}  // namespace samphire

#endif  // TRAFFIC_PLACING_SERVICE_SHARDS_H_
