#ifndef STORE_OBJECT_REPLICA_H_
#define STORE_OBJECT_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "store/patched_batch.h"
#include "store/watch_batch.h"

namespace samphire {

// An entry's copy of the objects under one prefix, with a log of their latest
// changes for peers that follow it. Not thread-safe; receives the time from its
// caller.
class object_replica {
 public:
  // Value and version of an object, and the era in which the version became
  // known.
  struct stored_object {
    std::uint64_t version = 0;
    std::string value;
    std::uint64_t era = 0;
  };
  using object_map = std::map<std::string, stored_object>;
  // Patches by key.
  using patch_map = std::map<std::string, value_patch>;

  // Applies a batch that is not below cursor(). A large value is logged as its
  // patch, if there is one from the version before.
  void Apply(const watch_batch& batch, patch_map patches);
  // Notes that the platform confirmed the replica.
  void OnConfirmed(time_point now) { confirmed_at_ = now; }
  // Notes that the platform could not be watched: the replica counts as fresh
  // for a moment longer only.
  void OnWatchFailed(time_point now);

  // That of the last applied batch; none before the first.
  store_cursor cursor() const { return cursor_; }
  // Whether the platform confirmed the replica recently enough to serve it.
  bool IsFresh(time_point now) const;
  // Whether a watch of the platform has failed so lately that no peer is to
  // wait for a fresh replica.
  bool HasFailedLately(time_point now) const;
  // Whether the log contains all events after `cursor`, and whether there are
  // any.
  bool CoversChangesSince(store_cursor cursor) const;
  bool HasChangesSince(store_cursor cursor) const;

  // Returns a full listing.
  watch_batch Snapshot() const;
  // Returns the current state of the objects that changed after `cursor`.
  watch_batch ChangesSince(store_cursor cursor) const;
  // The same with patches in place of large values.
  patched_batch PatchedChangesSince(store_cursor cursor) const;
  // Returns the objects that exist of these keys.
  object_map CopyObjects(const std::set<std::string>& keys) const;

 private:
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

  // Whether the replica has a later version of the event's object. `position`
  // is that of the event's batch.
  bool IsKnownFromLater(const store_event& event, store_cursor position) const;
  // Returns the first logged event after `cursor`.
  std::deque<logged_event>::const_iterator FirstAfter(
      store_cursor cursor) const;
  void AppendToLog(store_cursor position, patched_event event);
  void TrimLog();
  // Returns the events that turn the replica into `listing`.
  std::vector<store_event> DiffListing(const watch_batch& listing) const;

  object_map objects_;
  std::deque<logged_event> log_;
  // Size of the values and patches in the log.
  std::size_t log_bytes_ = 0;
  // Events up to and including this position are not in the log any more.
  store_cursor log_start_;
  // In ascending order; dropped with the part of the log that contains them.
  std::deque<gap> gaps_;
  store_cursor cursor_;
  // When the platform last confirmed the replica, and when it could not be
  // watched.
  time_point confirmed_at_;
  time_point failed_at_;
};

// Returns the last event of each object. A series of versions made in quick
// succession arrives in one batch, and only the last one is of use.
watch_batch WithoutSuperseded(const watch_batch& batch);

}  // namespace samphire

#endif  // STORE_OBJECT_REPLICA_H_
