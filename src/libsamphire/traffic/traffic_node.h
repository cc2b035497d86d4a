#ifndef TRAFFIC_TRAFFIC_NODE_H_
#define TRAFFIC_TRAFFIC_NODE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/system_clock_source.h"
#include "front/front_server.h"
#include "gateway/fleet_quarantine.h"
#include "gateway/peer_signer.h"
#include "membership/membership_service.h"
#include "metrics/metrics.h"
#include "peer/udp_peer_transport.h"
#include "proxy/connection_pool.h"
#include "store/object_relay.h"
#include "store/object_watcher.h"
#include "traffic/following/entry_list_builder.h"
#include "traffic/following/object_announcer.h"
#include "traffic/following/source_plan.h"
#include "traffic/limits/target_limiter.h"
#include "traffic/limits/target_news_channel.h"
#include "traffic/limits/target_notices.h"
#include "traffic/limits/team_limiter.h"
#include "traffic/placing/placement_client.h"
#include "traffic/placing/placement_server.h"
#include "traffic/placing/service_shards.h"
#include "traffic/sending/link_prober.h"
#include "traffic/sending/target_links.h"
#include "traffic/traffic_context.h"
#include "traffic/traffic_headers.h"
#include "traffic/traffic_settings.h"
#include "traffic/traffic_state.h"

namespace samphire {

// One entry that serves requests by host and path: owns and connects all of its
// components. The manifest, the targets and the bounds are set from outside, by
// the code that follows the platform's objects. Thread-safe once started,
// except for Start() and Drain(), which are called once each.
class traffic_node {
 public:
  // `opener` opens the connections to targets and peers; it must outlive this
  // object.
  traffic_node(
      traffic_settings settings,
      traffic_headers headers,
      peer_keys keys,
      const connection_opener& opener = tcp_connection_opener::Default());
  ~traffic_node();

  // Opens the ports and joins the fleet.
  void Start();
  // Updates the list of entries from membership, tells some of them which
  // requests are in quarantine, and closes connections that rested. Must be
  // called about once a second.
  void Tick();
  // Begins a planned stop that was requested at `requested`: reports itself as
  // not ready, and refuses requests that may not be answered before the process
  // ends. Returns when the process must have ended. May be called from any
  // thread, and once.
  time_point BeginStop(time_point requested);
  // Performs the stop, and begins it first if nobody has: keeps serving until
  // callers know about it, then completes the requests in progress. Blocks
  // until done, and returns before `traffic_bounds::stop_grace` has passed
  // since the stop was requested.
  void Drain();

  // The setters take effect immediately, without a restart.
  void SetBounds(const traffic_bounds& bounds);
  void AddSeeds(const std::vector<std::string>& seeds);
  // Ignored unless the manifest's version is above the current one.
  void SetManifest(const manifest_ptr& manifest);
  void SetTargets(std::vector<live_target> targets, store_cursor listing);
  // `position` is that of the store at which the domains were told by `source`,
  // the peer address of an entry or "platform".
  void SetEvacuatedDomains(std::set<std::string> domains,
                           store_cursor position,
                           const std::string& source);
  // Notes that a source with a fresh copy has confirmed the evacuated domains
  // at `position`.
  void ConfirmEvacuations(store_cursor position);

  // Makes changes under `prefix` be announced to all entries as soon as the
  // platform has told them to one; `receive` gets what others announce. An
  // empty handler ends that.
  void AnnounceObjects(const std::string& prefix,
                       object_announcer::listing_handler receive) {
    announcer_.Follow(prefix, std::move(receive));
  }
  // Returns a watcher of the platform's store that shares watches with the
  // other entries of the fleet. `platform` and this node must outlive it.
  std::unique_ptr<object_watcher> MakeSharedStore(object_watcher& platform);

  // Whether this entry can serve callers, and can tell what is evacuated.
  bool IsReady() const;
  // Returns the addresses of the live entries of this region that callers may
  // use, for a look-up, which it counts.
  std::vector<std::string> CallerAddresses();
  milliseconds lookup_ttl() const { return state_.bounds()->lookup_ttl; }
  const clock_source& clock() const { return clock_; }
  metrics& counters() { return metrics_; }

 private:
  void RefreshEntryList();
  void LogTargets() const;
  // Announces to the other members that this entry has a configuration, so that
  // callers may be sent here. Does nothing while manifest or targets are
  // missing.
  void AnnounceReady();
  // Peer addresses of entries that may provide their last known objects.
  std::vector<std::string> BootstrapAddresses() const;
  source_plan CurrentSourcePlan() const;
  news_peers NewsPeers() const;
  // Returns the handler of a peer's call.
  Poco::Net::HTTPRequestHandler* MakePeerHandler(
      const Poco::Net::HTTPServerRequest& request);
  std::string MetricsText();
  // Requests of callers and peers that are in progress.
  int RunningRequests() const;
  // Waits until no request is in progress, at most until `deadline`, and
  // refuses the connections that come meanwhile.
  void AwaitRequests(time_point deadline);
  // Logs a step of the stop, with what is in progress.
  void LogStopStep(const char* event) const;

  const traffic_settings settings_;
  const traffic_headers headers_;
  // Distinguishes this process from earlier ones of the same instance.
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
  object_announcer announcer_;
  // Guards entry_list_builder_ and the order of published lists.
  std::mutex entry_list_lock_;
  entry_list_builder entry_list_builder_;
  placement_client placement_client_;
  team_limiter limiter_;
  target_news_channel target_news_;
  target_limiter target_limiter_;
  target_notices target_notices_;
  fleet_quarantine quarantine_;
  target_links links_;
  traffic_context context_;
  placement_server placement_server_;
  link_prober link_prober_;
  front_server caller_front_;
  front_server metrics_front_;
  front_server peer_front_;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_NODE_H_
