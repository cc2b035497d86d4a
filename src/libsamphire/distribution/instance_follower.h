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

// Keeps the platform's instance list: watchers read it there, everyone else
// asks a peer, who answers only if it changed.
class instance_follower {
 public:
  // Told the list each time that it differs from the one before.
  using on_instances =
      std::function<void(const std::vector<instance_info>& instances)>;

  instance_follower(object_store& store,
                    config_peer_source& peers,
                    metrics& metrics,
                    const follower_limits& limits,
                    on_instances slot);
  ~instance_follower();

  void Start();
  void Stop();
  void SetWatching(bool watching);

  // Answers a peer: nothing if its list has the digest `known`.
  std::optional<instance_list> Answer(const std::string& known) const;

  // One step of the thread; returns how long to wait before the next.
  duration Step();

 private:
  bool ReadPlatform();
  bool AskPeer();
  void Take(const instance_list& list);

  object_store& store_;
  config_peer_source& peers_;
  metrics& metrics_;
  const follower_limits limits_;
  const on_instances slot_;
  std::atomic<bool> watching_{false};
  mutable std::mutex lock_;
  instance_list list_;
  // Which peer is asked next, so that one that is behind doesn't stay ours.
  std::size_t turn_ = 0;
  stoppable_thread thread_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_INSTANCE_FOLLOWER_H_
