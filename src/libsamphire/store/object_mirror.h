#ifndef STORE_OBJECT_MIRROR_H_
#define STORE_OBJECT_MIRROR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/clock_source.h"
#include "store/object_rank.h"
#include "store/watch_batch.h"

namespace samphire {

// A copy of the objects under one prefix, built from the results of successive
// watches of one or several sources with common cursors. Never returns to an
// older state when it changes sources, nor, for some seconds, when the store
// comes back from a copy: until then the owners of objects have written again
// what the store has lost. Not thread-safe; makes no calls and receives the
// time from its caller.
class object_mirror {
 public:
  // Values by key.
  using object_map = std::map<std::string, std::string>;

  // Without `ranker`, the versions of an object can't be ordered.
  explicit object_mirror(object_ranker ranker = nullptr)
      : ranker_(std::move(ranker)) {}

  // The cursor from which the next watch has to continue; none requests a full
  // listing.
  store_cursor cursor() const { return cursor_; }
  // Applies the result of a watch from `cursor`. Returns whether the objects
  // changed.
  bool Apply(const watch_batch& batch, time_point now);
  // Applies the changes that were delayed and are due at `now`. Returns whether
  // there were any.
  bool Expire(time_point now);
  // Returns when Expire is to be called, if any change is delayed.
  std::optional<time_point> expiry() const;
  // The highest position that this mirror has reached.
  store_cursor position() const { return highest_cursor_; }
  // Number of successive batches that were skipped because they were older than
  // what this mirror has seen.
  std::uint32_t skipped_batches() const { return skipped_batches_; }

  // The current objects, without delayed changes.
  const object_map& objects() const { return objects_; }

 private:
  // A change that is not applied yet, as it may only show what the store has
  // lost.
  struct delayed_change {
    // Nothing for a removal.
    std::optional<std::string> value;
    time_point due;
  };
  // An object that was removed in an era.
  struct removed_object {
    object_rank rank{};
    std::uint64_t era = 0;
    time_point removed_at;
  };

  // Applies one new value. Returns whether the objects changed.
  bool Store(const store_event& event, bool new_era, time_point now);
  // Whether the object is known from a later position of this era than
  // `revision`.
  bool IsKnownFromLater(const std::string& key, std::uint64_t revision) const;
  // Whether the value is older than what is known of the object.
  bool IsOutdated(const std::string& key,
                  const std::string& value,
                  bool new_era) const;
  // Removes the objects, or delays their removal if they are many or if the
  // store may have lost them. Returns whether any was removed at once.
  bool Remove(const std::set<std::string>& keys, bool new_era, time_point now);
  void RemoveNow(const std::string& key, time_point now);
  void Delay(const std::string& key,
             std::optional<std::string> value,
             time_point due);
  void ForgetRemovals(time_point now);
  object_rank RankOf(const std::string& key, const std::string& value) const;

  const object_ranker ranker_;
  store_cursor cursor_;
  // The highest cursor applied so far; batches with a lower one are skipped.
  store_cursor highest_cursor_;
  object_map objects_;
  // The position of the last change of each object.
  std::map<std::string, store_cursor> versions_;
  std::map<std::string, delayed_change> delayed_;
  // Objects removed lately, by key.
  std::map<std::string, removed_object> removed_;
  std::uint32_t skipped_batches_ = 0;
};

}  // namespace samphire

#endif  // STORE_OBJECT_MIRROR_H_
