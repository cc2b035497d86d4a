#ifndef TESTS_TRAFFIC_WATCHING_ENTRY_H_
#define TESTS_TRAFFIC_WATCHING_ENTRY_H_

#include <string>
#include <vector>

#include "base/system_clock_source.h"
#include "gateway/peer_signer.h"
#include "proxy/connection_pool.h"
#include "store/object_relay.h"
#include "traffic/following/shared_store.h"
#include "traffic/following/source_plan.h"

namespace samphire {

// An entry that watches a fake platform and peers, by a plan that the test
// sets; a follower at first.
template <typename Platform>
struct watching_entry {
  explicit watching_entry(milliseconds discovery_time = milliseconds{0})
      : store(
            platform,
            relay,
            pool,
            signer,
            clock,
            discovery_time,
            [this] { return plan; },
            [] { return std::vector<std::string>{}; }) {}

  system_clock_source clock;
  peer_keys keys = peer_keys::Parse("0123456789abcdef0123456789abcdef").value();
  Platform platform;
  object_relay relay{clock};
  connection_pool pool;
  peer_signer signer{keys, {"entry", 1}, clock};
  source_plan plan{.role = source_role::kFollower};
  shared_store store;
};

}  // namespace samphire

#endif  // TESTS_TRAFFIC_WATCHING_ENTRY_H_
