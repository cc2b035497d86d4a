#ifndef STORE_OBJECT_MIRROR_H_
#define STORE_OBJECT_MIRROR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock_source.h"
#include "store/watch_batch.h"

namespace samphire {

// A copy of the objects under one prefix, built from the results of successive
// watches of one or several sources with common revisions. Never returns to an
// older state when it changes sources. Not thread-safe; makes no calls and
// receives the time from its caller.
class object_mirror {
 public:
  // Values by key.
  using object_map = std::map<std::string, std::string>;

  // The cursor from which the next watch has to continue; none requests a full
  // listing.
  store_cursor cursor() const { return cursor_; }
  // Applies the result of a watch from `cursor`. Returns whether the objects
  // changed.
  bool Apply(const watch_batch& batch, time_point now);
  // Removes the objects whose removal was delayed and is due at `now`. Returns
  // whether any was removed.
  bool Expire(time_point now);
  // Returns when Expire is to be called, if any removal is delayed.
  std::optional<time_point> expiry() const;

  // The current objects, including those whose removal is delayed.
  const object_map& objects() const { return objects_; }

 private:
  // Removes the objects, or delays their removal if they are many. Returns
  // whether any was removed at once.
  bool Remove(const std::set<std::string>& keys, time_point now);

  store_cursor cursor_;
  // The highest cursor applied so far; batches with a lower one are skipped.
  store_cursor highest_cursor_;
  object_map objects_;
  // Objects that were reported deleted but are still kept, and the time of
  // their removal.
  std::map<std::string, time_point> pending_removals_;
};

}  // namespace samphire

#endif  // STORE_OBJECT_MIRROR_H_
