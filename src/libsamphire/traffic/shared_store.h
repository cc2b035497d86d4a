#ifndef TRAFFIC_SHARED_STORE_H_
#define TRAFFIC_SHARED_STORE_H_

#include <functional>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/pause_list.h"
#include "gateway/peer_signer.h"
#include "proxy/connection_pool.h"
#include "store/object_relay.h"
#include "store/object_watcher.h"
#include "traffic/mirror_messages.h"
#include "traffic/platform_turn.h"
#include "traffic/source_plan.h"

namespace samphire {

// The platform's store as a fleet shares it: a few entries of each region
// watch the platform, the others watch those, and turn to the platform
// themselves only when nobody near has a fresh copy.
class shared_store final : public object_watcher {
 public:
  // Where a region learns of changes, as it is now.
  using plan_source = std::function<source_plan()>;
  // Peer addresses of all that may tell what they knew last.
  using peer_source = std::function<std::vector<std::string>()>;

  shared_store(object_watcher& platform,
               object_relay& relay,
               connection_pool& pool,
               peer_signer& signer,
               const clock_source& clock,
               milliseconds meeting_time,
               plan_source plan,
               peer_source peers);

  result<watch_batch> Watch(const std::string& prefix,
                            std::uint64_t cursor,
                            milliseconds wait) override;

 private:
  // What came of asking several peers in turn.
  struct peer_answers {
    result<watch_batch> batch;
    // Some answered that they have no fresh copy; some did not answer. Neither
    // where all are left alone for now.
    bool stale = false;
    bool silent = false;
  };

  result<watch_batch> List(const std::string& prefix);
  result<watch_batch> WatchFresh(const std::string& prefix,
                                 std::uint64_t cursor,
                                 milliseconds wait);
  // What a watcher tells, or for a follower a deputy.
  peer_answers AskRegion(const source_plan& plan, mirror_ask ask);
  result<watch_batch> AskLastKnown(const std::string& prefix);
  peer_answers AskPeers(std::span<const std::string> peers,
                        const mirror_ask& ask);
  result<watch_batch> AskPeer(const std::string& peer,
                              const mirror_ask& ask,
                              milliseconds timeout);
  result<watch_batch> AskPlatform(const std::string& prefix,
                                  std::uint64_t cursor,
                                  milliseconds wait,
                                  source_role role);
  // Calls `use` with this prefix's turn, under the lock.
  template <typename F>
  auto WithTurn(const std::string& prefix, F use) {
    std::lock_guard guard(turns_lock_);
    return use(turns_[prefix]);
  }

  object_watcher& platform_;
  object_relay& relay_;
  connection_pool& pool_;
  peer_signer& signer_;
  const clock_source& clock_;
  const plan_source plan_;
  const peer_source peers_;
  // From then on the region is known well enough to watch for it.
  const time_point met_at_;
  // Peers that failed, by their addresses.
  pause_list pauses_;
  std::mutex turns_lock_;
  std::map<std::string, platform_turn> turns_;
};

}  // namespace samphire

#endif  // TRAFFIC_SHARED_STORE_H_
