#include "store/object_mirror.h"

#include <set>

namespace samphire {

namespace {

// Time for which objects that disappear in bulk are kept. After an outage an
// owner has two seconds to renew its object; the remainder covers the
// transmission to this process.
constexpr milliseconds kRemovalDelay{2200};
// Minimum number of objects that disappear together to be treated as a bulk
// removal; fewer may well be removed at the same time.
constexpr std::size_t kMinBulkRemoval = 8;

}  // namespace

// After the source has lost its history everything is listed again, perhaps by
// a peer whose copy is a second older than what this mirror has already seen.
// Applying it would assign work again to a target that has announced that it is
// leaving. Such a listing is skipped and requested again.
bool object_mirror::Apply(const watch_batch& batch, time_point now) {
  if (batch.cursor < highest_cursor_) {
    cursor_ = {};
    return false;
  }
  highest_cursor_ = cursor_ = batch.cursor;
  bool changed = false;
  std::set<std::string> listed;
  std::set<std::string> removed;
  for (const auto& event : batch.events) {
    listed.insert(event.key);
    if (event.version == 0) {
      removed.insert(event.key);
    } else if (event.value) {
      // One batch may contain both the deletion of an object and its
      // re-creation.
      removed.erase(event.key);
      pending_removals_.erase(event.key);
      auto& stored = objects_[event.key];
      changed |= stored != *event.value;
      stored = *event.value;
    }
  }
  if (batch.reset && batch.cursor.IsSet()) {
    for (const auto& [key, value] : objects_) {
      if (!listed.contains(key))
        removed.insert(key);
    }
  }
  return Remove(removed, now) || changed;
}

// After an outage the platform may list hardly any objects, because their
// owners could not renew them. If this were applied, an entry would refuse all
// callers for lack of targets although the targets are available. Single
// objects are removed at once; when more than half disappear together, they are
// kept until their owners have had time to renew them.
bool object_mirror::Remove(const std::set<std::string>& keys, time_point now) {
  const bool is_bulk =
      keys.size() >= kMinBulkRemoval && keys.size() * 2 > objects_.size();
  bool changed = false;
  for (const auto& key : keys) {
    if (!objects_.contains(key))
      continue;
    if (is_bulk) {
      pending_removals_.try_emplace(key, now + kRemovalDelay);
    } else if (!pending_removals_.contains(key)) {
      objects_.erase(key);
      changed = true;
    }
  }
  return changed;
}

bool object_mirror::Expire(time_point now) {
  bool changed = false;
  std::erase_if(pending_removals_, [&](const auto& entry) {
    if (now < entry.second)
      return false;
    changed |= objects_.erase(entry.first) > 0;
    return true;
  });
  return changed;
}

std::optional<time_point> object_mirror::expiry() const {
  if (pending_removals_.empty())
    return std::nullopt;
  return pending_removals_.begin()->second;
}

}  // namespace samphire
