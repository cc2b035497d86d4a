#ifndef STORE_OBJECT_RELAY_H_
#define STORE_OBJECT_RELAY_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "store/object_replica.h"
#include "store/patched_batch.h"
#include "store/watch_batch.h"

namespace samphire {

// Forwards to peers the results of this entry's own watches of the platform.
// Uses the platform's cursors, so that a peer can switch between sources at any
// time. Thread-safe.
class object_relay {
 public:
  // `clock` must outlive this object.
  explicit object_relay(const clock_source& clock) : clock_(clock) {}

  // Applies the result of a watch under `prefix` and wakes up waiting peers.
  // `confirmed` if it came from the platform itself rather than from a peer.
  // Ignores a batch without a cursor or with one below that of the replica.
  void Publish(const std::string& prefix,
               const watch_batch& batch,
               bool confirmed = true);

  // Reports that the platform could not be watched. The replica counts as fresh
  // for a moment longer only, unless another watch confirms it.
  void OnWatchFailed(const std::string& prefix);

  // Serves a watch like the platform, from `cursor` and for at most `wait`, but
  // returns kStoreUnreachable when the replica is of an earlier era than
  // `cursor`, or not fresh, that is, was not confirmed by the platform recently
  // enough. With `await_fresh` it waits
  // until the replica becomes fresh, and does not wait for changes to a fresh
  // one.
  result<watch_batch> Watch(const std::string& prefix,
                            store_cursor cursor,
                            milliseconds wait,
                            bool await_fresh = false);
  // Like Watch(), but returns the differences of large values.
  result<patched_batch> WatchPatched(const std::string& prefix,
                                     store_cursor cursor,
                                     milliseconds wait,
                                     bool await_fresh = false);
  // Returns `batch`, received from a peer, with complete values. Fails with
  // kPeerMalformed if a patch is damaged, or if its base is not the version of
  // the object in this replica; a full listing is needed then.
  result<watch_batch> ResolvePatches(const std::string& prefix,
                                     const patched_batch& batch);
  // Returns all objects known under `prefix`, regardless of their age;
  // kStoreUnreachable if no listing has been received yet.
  result<watch_batch> LastKnown(const std::string& prefix);

 private:
  // Waits until the replica is fresh and has changes after `cursor`, and
  // returns it. `guard` holds the lock. Fails like Watch().
  result<const object_replica*> AwaitChanges(
      std::unique_lock<std::mutex>& guard,
      const std::string& prefix,
      store_cursor cursor,
      milliseconds wait,
      bool await_fresh);
  // Returns the objects that exist of these keys.
  object_replica::object_map CopyObjects(const std::string& prefix,
                                         const std::set<std::string>& keys);
  // Returns the patches from the replica's values to the large ones of `batch`.
  object_replica::patch_map MakePatches(const std::string& prefix,
                                        const watch_batch& batch);
  // Returns the patches with which the events of `batch` came.
  static object_replica::patch_map PatchesOf(const watch_batch& batch);

  const clock_source& clock_;
  std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::string, object_replica> replicas_;
};

}  // namespace samphire

#endif  // STORE_OBJECT_RELAY_H_
