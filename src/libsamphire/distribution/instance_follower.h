#ifndef DISTRIBUTION_INSTANCE_FOLLOWER_H_
#define DISTRIBUTION_INSTANCE_FOLLOWER_H_

#include <atomic>
#include <functional>
#include <mutex>

#include "base/stoppable_thread.h"
#include "distribution/config_peer_source.h"
#include "distribution/follower_limits.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Keeps a copy of the platform's instance list: watchers read it from the
// platform, all other entries request it from a peer, which sends it only if it
// changed, and read it from the platform if that fails. Runs one thread. Start
// and Stop are called by the owner; SetWatching and ListIfChanged may be called
// from any thread.
class instance_follower {
 public:
  // Called on that thread, without any lock held, with each list that differs
  // from the previous one.
  using instances_callback =
      std::function<void(const std::vector<instance_info>& instances)>;

  // The arguments passed by reference must outlive this object, except for
  // `limits`, which is copied.
  instance_follower(object_store& store,
                    config_peer_source& peers,
                    metrics& metrics,
                    const follower_limits& limits,
                    instances_callback callback);
  ~instance_follower();

  // Starts the thread; Stop returns when the step in progress has ended.
  void Start();
  void Stop();
  // Sets whether this entry reads the list from the platform.
  void SetWatching(bool watching);

  // Serves a peer's request: returns the list, or no value if its digest is
  // `known`.
  std::optional<instance_list> ListIfChanged(const std::string& known) const;

  // Runs one iteration of the thread and returns the delay until the next one.
  duration Step();

 private:
  bool ReadPlatform();
  bool QueryPeer();
  void AcceptList(const instance_list& list);

  object_store& store_;
  config_peer_source& peers_;
  metrics& metrics_;
  const follower_limits limits_;
  const instances_callback callback_;
  std::atomic<bool> watching_{false};
  // Protects list_.
  mutable std::mutex lock_;
  instance_list list_;
  // Index of the peer that is queried next. Peers take turns, so that one with
  // an outdated list isn't queried every time.
  std::size_t next_peer_ = 0;
  stoppable_thread thread_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_INSTANCE_FOLLOWER_H_
