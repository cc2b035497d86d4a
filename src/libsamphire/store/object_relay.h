#ifndef STORE_OBJECT_RELAY_H_
#define STORE_OBJECT_RELAY_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/result.h"
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
  // Value and version of an object, and the era in which the version became
  // known.
  struct stored_object {
    std::uint64_t version = 0;
    std::string value;
    std::uint64_t era = 0;
  };
  using object_map = std::map<std::string, stored_object>;
  // A change and the cursor of the batch that contained it.
  struct logged_event {
    store_cursor position;
    patched_event event;
  };
  // The range between two positions within which the individual events are
  // unknown.
  struct gap {
    store_cursor after;
    store_cursor before;
  };
  // The copy of the objects under one prefix.
  struct prefix_replica {
    object_map objects;
    std::deque<logged_event> log;
    // Size of the values and patches in the log.
    std::size_t log_bytes = 0;
    // Events up to and including this position are not in the log any more.
    store_cursor log_start;
    // In ascending order; dropped with the part of the log that contains them.
    std::deque<gap> gaps;
    // That of the last applied batch; none before the first.
    store_cursor cursor;
    // When the platform last confirmed the replica, and when it could not be
    // watched.
    time_point confirmed_at;
    time_point failed_at;
  };
  // Patches by key.
  using patch_map = std::map<std::string, value_patch>;

  // Whether the platform confirmed the replica recently enough to serve it.
  bool IsFresh(const prefix_replica& replica) const;
  // Whether the log contains all events after `cursor`.
  static bool CoversChangesSince(const prefix_replica& replica,
                                 store_cursor cursor);
  // Waits until the replica is fresh and has changes after `cursor`, and
  // returns it. `guard` holds the lock. Fails like Watch().
  result<const prefix_replica*> AwaitChanges(
      std::unique_lock<std::mutex>& guard,
      const std::string& prefix,
      store_cursor cursor,
      milliseconds wait,
      bool await_fresh);
  // Whether the replica has a later version of the event's object. `position`
  // is that of the event's batch.
  static bool IsKnownFromLater(const prefix_replica& replica,
                               const store_event& event,
                               store_cursor position);
  // Returns a full listing.
  static watch_batch Snapshot(const prefix_replica& replica);
  // Returns the current state of the objects that changed after `cursor`.
  static watch_batch ChangesSince(const prefix_replica& replica,
                                  store_cursor cursor);
  static patched_batch PatchedChangesSince(const prefix_replica& replica,
                                           store_cursor cursor);
  // Returns the first logged event after `cursor`.
  static std::deque<logged_event>::const_iterator FirstAfter(
      const prefix_replica& replica,
      store_cursor cursor);
  // Returns the objects that exist of these keys.
  object_map CopyObjects(const std::string& prefix,
                         const std::set<std::string>& keys);
  // Returns the patches from the replica's values to the large ones of `batch`.
  patch_map MakePatches(const std::string& prefix, const watch_batch& batch);
  // Returns the patches with which the events of `batch` came.
  static patch_map PatchesOf(const watch_batch& batch);
  // Applies a batch to the objects and the log.
  static void ApplyBatch(prefix_replica& replica,
                         const watch_batch& batch,
                         patch_map patches);
  static void AppendToLog(prefix_replica& replica,
                          store_cursor position,
                          patched_event event);
  static void TrimLog(prefix_replica& replica);
  // Returns the events that turn the replica into `listing`.
  static std::vector<store_event> DiffListing(const prefix_replica& replica,
                                              const watch_batch& listing);

  const clock_source& clock_;
  std::mutex lock_;
  std::condition_variable changed_;
  std::map<std::string, prefix_replica> replicas_;
};

}  // namespace samphire

#endif  // STORE_OBJECT_RELAY_H_
