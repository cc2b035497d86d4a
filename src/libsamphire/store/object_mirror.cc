#include "store/object_mirror.h"

#include <set>

namespace samphire {

namespace {

// Whoever renews an entry is given two seconds after an outage to do so; a bit
// more covers the way to us.
constexpr milliseconds kReturnTime{2200};
// Fewer than this may well go together.
constexpr std::size_t kMass = 8;

}  // namespace

// After lost history everything is read anew, perhaps from a peer whose copy is
// a second behind what this one has seen: a target that said it leaves would
// get work again. Such a listing is passed over, and asked for again.
bool object_mirror::Apply(const watch_batch& batch, time_point now) {
  if (batch.cursor < newest_) {
    cursor_ = 0;
    return false;
  }
  newest_ = cursor_ = batch.cursor;
  bool changed = false;
  std::set<std::string> listed;
  std::set<std::string> gone;
  for (const auto& event : batch.events) {
    listed.insert(event.key);
    if (event.version == 0) {
      gone.insert(event.key);
    } else if (event.value) {
      // One batch may tell that an object went and that it came back.
      gone.erase(event.key);
      missing_.erase(event.key);
      auto& held = objects_[event.key];
      changed |= held != *event.value;
      held = *event.value;
    }
  }
  if (batch.reset && batch.cursor != 0) {
    for (const auto& [key, value] : objects_) {
      if (!listed.contains(key))
        gone.insert(key);
    }
  }
  return Remove(gone, now) || changed;
}

// After an outage the platform may list hardly anyone: whoever had to renew an
// entry could not. Taken at its word, an entry would turn away every caller
// for want of targets that in truth are fine. Single objects go at once; when
// most go together, they are held until their owners had time to come back.
bool object_mirror::Remove(const std::set<std::string>& keys, time_point now) {
  const bool doubted =
      keys.size() >= kMass && keys.size() * 2 > objects_.size();
  bool changed = false;
  for (const auto& key : keys) {
    if (!objects_.contains(key))
      continue;
    if (doubted) {
      missing_.try_emplace(key, now + kReturnTime);
    } else if (!missing_.contains(key)) {
      objects_.erase(key);
      changed = true;
    }
  }
  return changed;
}

bool object_mirror::Expire(time_point now) {
  bool changed = false;
  std::erase_if(missing_, [&](const auto& entry) {
    if (now < entry.second)
      return false;
    changed |= objects_.erase(entry.first) > 0;
    return true;
  });
  return changed;
}

std::optional<time_point> object_mirror::expiry() const {
  if (missing_.empty())
    return std::nullopt;
  return missing_.begin()->second;
}

}  // namespace samphire
