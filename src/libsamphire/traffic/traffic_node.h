#ifndef TRAFFIC_TRAFFIC_NODE_H_
#define TRAFFIC_TRAFFIC_NODE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/system_clock_source.h"
#include "front/front_server.h"
#include "gateway/peer_signer.h"
#include "membership/membership_service.h"
#include "metrics/metrics.h"
#include "peer/udp_peer_transport.h"
#include "proxy/connection_pool.h"
#include "store/object_relay.h"
#include "store/object_watcher.h"
#include "traffic/entry_list_builder.h"
#include "traffic/placing_client.h"
#include "traffic/placing_server.h"
#include "traffic/service_shards.h"
#include "traffic/source_plan.h"
#include "traffic/team_limiter.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_headers.h"
#include "traffic/traffic_settings.h"
#include "traffic/traffic_state.h"

namespace samphire {

// One entry that serves hosts and paths, wired together. What it serves, and
// where, it is told by whoever follows the configuration.
class traffic_node {
 public:
  traffic_node(traffic_settings settings,
               traffic_headers headers,
               peer_keys keys);
  ~traffic_node();

  void Start();
  // Looks at the fleet anew; called about once a second.
  void Tick() { FollowMembers(); }
  // A planned stop: not ready at once, serves on while callers learn of it,
  // then finishes what runs. Blocks until done.
  void Drain();

  // From the moment of the call, without a restart.
  void SetBounds(const traffic_bounds& bounds);
  void AddSeeds(const std::vector<std::string>& seeds);
  void SetManifest(const manifest_ptr& manifest);
  void SetTargets(std::vector<live_target> targets);
  void SetEvacuatedDomains(std::set<std::string> domains);

  // The platform's store as this fleet shares it. The node must outlive it.
  std::unique_ptr<object_watcher> Share(object_watcher& platform);

  bool IsReady() const { return state_.IsReady(); }
  // The live entries of this region that callers may use.
  std::vector<std::string> CallerAddresses() const;
  milliseconds lookup_ttl() const { return state_.bounds()->lookup_ttl; }
  const clock_source& clock() const { return clock_; }
  metrics& counters() { return metrics_; }

 private:
  void FollowMembers();
  void LogTargets() const;
  // That this entry has a configuration, so that callers may be sent here.
  void TellPeers();
  // Peer addresses of entries that may tell what they knew last.
  std::vector<std::string> Peers() const;
  source_plan Sources() const;
  std::string CountersText();

  const traffic_settings settings_;
  const traffic_headers headers_;
  const std::uint64_t incarnation_;
  const system_clock_source clock_;
  metrics metrics_;
  traffic_state state_;
  service_shards shards_;
  connection_pool pool_;
  udp_peer_transport transport_;
  membership_service membership_;
  peer_signer signer_;
  object_relay relay_;
  std::mutex list_lock_;
  entry_list_builder list_builder_;
  placing_client placings_;
  team_limiter limiter_;
  traffic_context context_;
  placing_server placing_server_;
  front_server caller_front_;
  front_server metrics_front_;
  front_server peer_front_;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_NODE_H_
