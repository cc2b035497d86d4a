#ifndef TRAFFIC_FOLLOWING_SHARED_STORE_H_
#define TRAFFIC_FOLLOWING_SHARED_STORE_H_

#include <functional>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "base/backoff_list.h"
#include "base/clock_source.h"
#include "gateway/peer_signer.h"
#include "proxy/connection_pool.h"
#include "store/object_relay.h"
#include "store/object_watcher.h"
#include "traffic/following/mirror_messages.h"
#include "traffic/following/platform_fallback.h"
#include "traffic/following/source_plan.h"
#include "traffic/following/urgent_objects.h"

namespace samphire {

// Watches the platform's store with few calls in a large fleet: a few watchers
// of each region watch the platform, the other entries follow those watchers,
// and query the platform themselves only if no watcher or backup of their
// region has a fresh copy. Thread-safe; calls block the calling thread.
class shared_store final : public object_watcher {
 public:
  // Returns the peers to follow, according to current membership.
  using plan_provider = std::function<source_plan()>;
  // Returns the peer addresses of all entries that may provide their last known
  // objects.
  using peer_provider = std::function<std::vector<std::string>()>;

  // For `discovery_time` after the construction, this entry does not know
  // enough members of its region to tell whether it is a watcher; it then takes
  // its first listing from the platform and changes from peers only. `urgent`
  // may be null; what is passed must outlive this object.
  shared_store(object_watcher& platform,
               object_relay& relay,
               connection_pool& pool,
               peer_signer& signer,
               const clock_source& clock,
               milliseconds discovery_time,
               plan_provider plan,
               peer_provider peers,
               urgent_objects* urgent = nullptr);

  // Returns changes under `prefix` after `cursor`, or all objects for cursor 0.
  // If neither a peer nor the platform has a fresh copy, cursor 0 returns the
  // last known objects of any peer. Fails with kStoreUnreachable or
  // kStoreCorrupt.
  result<watch_batch> Watch(const std::string& prefix,
                            store_cursor cursor,
                            milliseconds wait) override;

 private:
  // The result of querying several peers in turn.
  struct peer_responses {
    result<watch_batch> batch;
    // Whether at least one peer responded that it has no fresh copy, and
    // whether at least one did not respond. Both are false if all peers are
    // paused after earlier failures.
    bool stale = false;
    bool unreachable = false;
  };

  result<watch_batch> List(const std::string& prefix);
  result<watch_batch> WatchFresh(const std::string& prefix,
                                 store_cursor cursor,
                                 milliseconds wait);
  // Watches substitutes, or returns no events after a pause.
  result<watch_batch> WatchDuringDiscovery(const source_plan& plan,
                                           const mirror_request& request);
  // Watches the first substitute that has a fresh copy.
  result<watch_batch> WatchSubstitutes(const source_plan& plan,
                                       const mirror_request& request);
  // Watches the platform, or a substitute while the platform fails.
  result<watch_batch> WatchPlatformOrSubstitutes(const source_plan& plan,
                                                 const mirror_request& request,
                                                 milliseconds wait);
  // Queries the watchers and then, for a follower, some of the backups, until
  // `deadline` at the latest.
  peer_responses QueryRegion(const source_plan& plan,
                             mirror_request request,
                             time_point deadline);
  // Asks the watchers that are left alone because they were late, for what they
  // have at once; the first response replaces that in `responses`.
  void QueryPausedWatchers(const source_plan& plan,
                           mirror_request request,
                           time_point deadline,
                           peer_responses& responses);
  result<watch_batch> FetchLastKnown(const std::string& prefix);
  // Queries `peers` in turn until one has a fresh copy, or until `deadline`.
  peer_responses QueryPeers(std::span<const std::string> peers,
                            mirror_request request,
                            time_point deadline);
  result<watch_batch> QueryPeer(const std::string& peer,
                                mirror_request request,
                                milliseconds timeout);
  // Makes one call to a peer.
  result<watch_batch> FetchFromPeer(const std::string& peer,
                                    const mirror_request& request,
                                    milliseconds timeout);
  result<watch_batch> WatchPlatform(const std::string& prefix,
                                    store_cursor cursor,
                                    milliseconds wait,
                                    source_role role);
  milliseconds TimeUntil(time_point deadline) const;
  milliseconds ElapsedSince(time_point start) const;
  // Calls `use` with the fallback state of this prefix while holding its lock.
  template <typename F>
  auto WithFallback(const std::string& prefix, F use) {
    std::lock_guard guard(fallbacks_lock_);
    return use(fallbacks_[prefix]);
  }

  object_watcher& platform_;
  object_relay& relay_;
  connection_pool& pool_;
  peer_signer& signer_;
  const clock_source& clock_;
  const plan_provider plan_;
  const peer_provider peers_;
  urgent_objects* const urgent_;
  // From this time on, this entry knows its region well enough to act as a
  // watcher for it.
  const time_point discovery_ends_at_;
  // Peers that had no fresh copy or were late lately, by prefix and address.
  backoff_list stale_peers_;
  backoff_list late_peers_;
  // Guards fallbacks_, which is keyed by prefix.
  std::mutex fallbacks_lock_;
  std::map<std::string, platform_fallback> fallbacks_;
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_SHARED_STORE_H_
