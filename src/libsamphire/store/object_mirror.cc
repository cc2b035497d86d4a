#include "store/object_mirror.h"

#include <algorithm>

namespace samphire {

namespace {

// Time for which objects that disappear in bulk, or with the store's era, are
// kept. After an outage an owner has two seconds to renew its object; the
// remainder covers the transmission to this process.
constexpr milliseconds kRemovalDelay{2200};
// Minimum number of objects that disappear together to be treated as a bulk
// removal; fewer may well be removed at the same time.
constexpr std::size_t kMinBulkRemoval = 8;
// Time for which an older version of an object, or an object that was removed,
// is not taken from a store that came back from a copy. By then its owner has
// written again what was lost, or has ended.
constexpr milliseconds kOutdatedDelay{6000};
// Time for which a removal is remembered: longer than a copy is old. The number
// bounds memory; the earliest removal is forgotten first.
constexpr milliseconds kRemovalMemory{60'000};
constexpr std::size_t kMaxRememberedRemovals = 4096;

}  // namespace

// After the source has lost its history everything is listed again, perhaps by
// a peer whose copy is a second older than what this mirror has already seen.
// Applying it would assign work again to a target that has announced that it is
// leaving. Such a listing is skipped and requested again.
bool object_mirror::Apply(const watch_batch& batch, time_point now) {
  if (batch.cursor < highest_cursor_) {
    cursor_ = {};
    ++skipped_batches_;
    return false;
  }
  const bool new_era =
      highest_cursor_.IsSet() && batch.cursor.era != highest_cursor_.era;
  skipped_batches_ = 0;
  highest_cursor_ = cursor_ = batch.cursor;
  ForgetRemovals(now);
  bool changed = false;
  std::set<std::string> listed;
  std::set<std::string> removed;
  for (const auto& event : batch.events) {
    listed.insert(event.key);
    const auto revision =
        event.version == 0 ? batch.cursor.revision : event.version;
    if (IsKnownFromLater(event.key, revision))
      continue;
    if (event.version == 0) {
      removed.insert(event.key);
    } else if (event.value) {
      // One batch may contain both the deletion of an object and its
      // re-creation.
      removed.erase(event.key);
      changed |= Store(event, new_era, now);
    }
  }
  if (batch.reset && batch.cursor.IsSet()) {
    for (const auto& [key, value] : objects_) {
      if (!listed.contains(key))
        removed.insert(key);
    }
    std::erase_if(delayed_, [&](const auto& each) {
      return !objects_.contains(each.first) && !listed.contains(each.first);
    });
  }
  return Remove(removed, new_era, now) || changed;
}

// The pages of a listing may be of different times, and a source of changes may
// be behind the latest of them. What such a source reports of an object that is
// known from later would bring a target back that has announced that it is
// leaving.
bool object_mirror::IsKnownFromLater(const std::string& key,
                                     std::uint64_t revision) const {
  const auto known = versions_.find(key);
  return known != versions_.end() && known->second.era == cursor_.era &&
         revision < known->second.revision;
}

bool object_mirror::Store(const store_event& event,
                          bool new_era,
                          time_point now) {
  const auto& key = event.key;
  const auto& value = *event.value;
  if (IsOutdated(key, value, new_era)) {
    Delay(key, value, now + kOutdatedDelay);
    return false;
  }
  delayed_.erase(key);
  removed_.erase(key);
  versions_[key] = {event.version, cursor_.era};
  auto& stored = objects_[key];
  const bool changed = stored != value;
  stored = value;
  return changed;
}

// A store that came back from a copy shows the state of some seconds ago. If a
// target's earlier state were applied, a target that has announced that it is
// leaving, or one that has gone, would be assigned work again.
bool object_mirror::IsOutdated(const std::string& key,
                               const std::string& value,
                               bool new_era) const {
  const auto known = objects_.find(key);
  if (known != objects_.end()) {
    return (new_era || delayed_.contains(key)) &&
           RankOf(key, value) < RankOf(key, known->second);
  }
  const auto gone = removed_.find(key);
  return ranker_ && gone != removed_.end() && gone->second.era < cursor_.era &&
         RankOf(key, value) <= gone->second.rank;
}

// After an outage the platform may list hardly any objects, because their
// owners could not renew them. If this were applied, an entry would refuse all
// callers for lack of targets although the targets are available. Single
// objects are removed at once; when more than half disappear together, they are
// kept until their owners have had time to renew them. So is an object that a
// store does not list after it came back from a copy: it may be younger than
// the copy. Of an object whose older version is listed, the removal is known to
// be later than that.
bool object_mirror::Remove(const std::set<std::string>& keys,
                           bool new_era,
                           time_point now) {
  const bool is_bulk =
      keys.size() >= kMinBulkRemoval && keys.size() * 2 > objects_.size();
  bool changed = false;
  for (const auto& key : keys) {
    if (!objects_.contains(key)) {
      delayed_.erase(key);
      continue;
    }
    const auto delayed = delayed_.find(key);
    const bool is_pending =
        delayed != delayed_.end() && !delayed->second.value.has_value();
    if (is_pending)
      continue;
    if (is_bulk || new_era) {
      Delay(key, std::nullopt, now + kRemovalDelay);
    } else {
      RemoveNow(key, now);
      changed = true;
    }
  }
  return changed;
}

void object_mirror::RemoveNow(const std::string& key, time_point now) {
  delayed_.erase(key);
  const auto found = objects_.find(key);
  if (found == objects_.end())
    return;
  removed_[key] = {.rank = RankOf(key, found->second),
                   .era = highest_cursor_.era,
                   .removed_at = now};
  objects_.erase(found);
  versions_.erase(key);
}

void object_mirror::Delay(const std::string& key,
                          std::optional<std::string> value,
                          time_point due) {
  const auto [entry, added] = delayed_.try_emplace(key);
  if (added)
    entry->second.due = due;
  entry->second.value = std::move(value);
}

bool object_mirror::Expire(time_point now) {
  bool changed = false;
  const auto waiting = std::exchange(delayed_, {});
  for (const auto& [key, change] : waiting) {
    if (now < change.due) {
      delayed_.emplace(key, change);
    } else if (change.value) {
      removed_.erase(key);
      objects_[key] = *change.value;
      changed = true;
    } else {
      changed |= objects_.contains(key);
      RemoveNow(key, now);
    }
  }
  return changed;
}

std::optional<time_point> object_mirror::expiry() const {
  std::optional<time_point> first;
  for (const auto& [key, change] : delayed_)
    first = std::min(first.value_or(change.due), change.due);
  return first;
}

void object_mirror::ForgetRemovals(time_point now) {
  std::erase_if(removed_, [now](const auto& each) {
    return now - each.second.removed_at > kRemovalMemory;
  });
  while (removed_.size() > kMaxRememberedRemovals) {
    removed_.erase(std::ranges::min_element(
        removed_, {}, [](const auto& each) { return each.second.removed_at; }));
  }
}

object_rank object_mirror::RankOf(const std::string& key,
                                  const std::string& value) const {
  return ranker_ ? ranker_(key, value) : object_rank{};
}

}  // namespace samphire
