#ifndef DISTRIBUTION_CONFIG_FOLLOWER_H_
#define DISTRIBUTION_CONFIG_FOLLOWER_H_

#include <functional>
#include <mutex>
#include <string>

#include "base/stoppable_thread.h"
#include "distribution/config_peer_source.h"
#include "distribution/follower_state.h"
#include "distribution/image_loader.h"
#include "distribution/image_shelf.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Gets the configuration into this entry and keeps it current: runs what
// follower_state decides, in one thread, and the watch in another.
class config_follower {
 public:
  // Told each image as it comes into force, in the order of versions.
  using on_image = std::function<void(const image_ptr& image)>;

  config_follower(object_store& store,
                  config_peer_source& peers,
                  const clock_source& clock,
                  metrics& metrics,
                  const follower_limits& limits,
                  on_image slot);
  ~config_follower();

  void Start();
  void Stop();

  // Whether this entry holds the watch, as IsWatcher says.
  void SetWatching(bool watching);
  // A peer told what it has, by gossip.
  void OnPeerVersion(const std::string& peer, const peer_config& config);

  // What to tell peers, and what to answer them from.
  peer_config Tell() const;
  const image_shelf& shelf() const { return shelf_; }
  // Null until a version is confirmed.
  image_ptr image() const { return shelf_.present(); }
  // How long ago it was known that nothing newer was in force.
  duration confirmed_age() const;
  bool platform_failing() const;

  // One step of either thread, for tests that run without them; returns how
  // long to wait before the next.
  duration Step();
  duration WatchStep();

 private:
  struct action_runner;

  void ReadPlatformRoot();
  void Pull(const std::string& peer);
  void AskPeers();
  void Adopt(const result<image_ptr>& loaded,
             time_point confirmed_at,
             std::string_view source);
  void CountVerdict(root_verdict verdict, std::string_view source);
  // Chunks from `peer` if it has them whole, else from the platform.
  chunk_fetch FetchFrom(const std::string& peer);
  result<std::vector<std::string>> FetchFromPeer(
      const std::string& peer,
      const std::vector<std::string>& refs);
  result<std::vector<std::string>> FetchFromStore(
      const std::vector<std::string>& refs);
  void OnWatchBatch(const watch_batch& batch);
  template <typename F>
  auto WithState(F&& use);
  follower_state Snapshot() const;

  object_store& store_;
  config_peer_source& peers_;
  const clock_source& clock_;
  metrics& metrics_;
  const follower_limits limits_;
  const on_image slot_;
  image_shelf shelf_;
  mutable std::mutex lock_;
  follower_state state_;
  // Of the watch thread alone; 0: the watch begins anew.
  std::uint64_t cursor_ = 0;
  stoppable_thread puller_;
  stoppable_thread watcher_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_FOLLOWER_H_
