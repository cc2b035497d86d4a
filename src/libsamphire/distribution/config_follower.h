#ifndef DISTRIBUTION_CONFIG_FOLLOWER_H_
#define DISTRIBUTION_CONFIG_FOLLOWER_H_

#include <functional>
#include <mutex>
#include <string>

#include "base/stoppable_thread.h"
#include "distribution/config_peer_source.h"
#include "distribution/follower_state.h"
#include "distribution/image_cache.h"
#include "distribution/image_loader.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Loads the configuration into this entry and keeps it current. One thread
// carries out the actions that follower_state decides on (loads from the
// platform or from peers), another one watches the root at the platform. Start
// and Stop are called by the owner; the other public methods but Step and
// WatchStep may be called from any thread and don't block on I/O.
class config_follower {
 public:
  // Called with each image as it comes into force, in the order of versions, on
  // the loading thread and without any lock held.
  using image_callback = std::function<void(const image_ptr& image)>;

  // The arguments passed by reference must outlive this object, except for
  // `limits`, which is copied.
  config_follower(object_store& store,
                  config_peer_source& peers,
                  const clock_source& clock,
                  metrics& metrics,
                  const follower_limits& limits,
                  image_callback callback);
  ~config_follower();

  // Starts both threads; Stop returns when the steps in progress have ended.
  void Start();
  void Stop();

  // Sets whether this entry watches the platform, as determined by IsWatcher.
  void SetWatching(bool watching);
  // Handles the configuration version that a peer announced by gossip.
  void OnPeerVersion(const std::string& peer, const peer_config& config);

  // Returns the version, digest and confirmation age to announce to peers, and
  // the images from which peers' requests are served.
  peer_config AdvertisedConfig() const;
  const image_cache& cached_images() const { return image_cache_; }
  // The image in force; null until the first one is loaded.
  image_ptr image() const { return image_cache_.current(); }
  // How long ago it was last confirmed that no newer version was in force.
  duration confirmed_age() const;
  // Whether the last read or watch of the platform's root failed.
  bool platform_failing() const;

  // Run one iteration of the loading and of the watch thread and return the
  // delay until the next one. Called directly only by tests and benchmarks,
  // which don't start the threads.
  duration Step();
  duration WatchStep();

 private:
  struct action_runner;

  void ReadPlatformRoot();
  void Pull(const std::string& peer);
  void QueryPeers();
  void HandleLoadResult(const result<image_ptr>& loaded,
                        time_point confirmed_at,
                        std::string_view source);
  void CountVerdict(root_verdict verdict, std::string_view source);
  // Returns a function that fetches chunks from `peer` while its responses are
  // valid, and otherwise from the platform.
  chunk_fetch MakeChunkFetch(const std::string& peer);
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
  const image_callback callback_;
  image_cache image_cache_;
  // Protects state_.
  mutable std::mutex lock_;
  follower_state state_;
  // Position in the platform's event stream, used by the watch thread only; 0
  // starts a new watch.
  store_cursor cursor_;
  stoppable_thread load_thread_;
  stoppable_thread watch_thread_;
};

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_FOLLOWER_H_
