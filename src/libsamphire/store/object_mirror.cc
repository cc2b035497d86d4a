#include "store/object_mirror.h"

#include <set>
#include <vector>

namespace samphire {

namespace {

// Entries that others renew lapse during an outage. Those that renew them are
// given two seconds after it; a bit more covers the way to us.
constexpr milliseconds kReturnTime{2400};
// A shorter outage lets nothing lapse.
constexpr milliseconds kShortOutage{1500};

}  // namespace

// After an outage the platform lists hardly anyone: whoever had to renew an
// entry could not. Taken at its word, an entry would turn away every caller
// for want of targets that in truth are fine; so what is missing then is held
// until its owner has had time to come back.
void object_mirror::OnRegained(duration outage, time_point now) {
  if (outage >= kShortOutage)
    doubt_until_ = now + kReturnTime;
}

bool object_mirror::Apply(const watch_batch& batch, time_point now) {
  bool changed = false;
  std::set<std::string> listed;
  for (const auto& event : batch.events) {
    listed.insert(event.key);
    if (event.version == 0) {
      changed |= Remove(event.key, now);
    } else if (event.value) {
      missing_.erase(event.key);
      auto& held = objects_[event.key];
      changed |= held != *event.value;
      held = *event.value;
    }
  }
  if (batch.reset && batch.cursor != 0) {
    std::vector<std::string> absent;
    for (const auto& [key, value] : objects_) {
      if (!listed.contains(key))
        absent.push_back(key);
    }
    for (const auto& key : absent)
      changed |= Remove(key, now);
  }
  return changed;
}

bool object_mirror::Remove(const std::string& key, time_point now) {
  if (!objects_.contains(key))
    return false;
  if (now < doubt_until_) {
    missing_.try_emplace(key, doubt_until_);
    return false;
  }
  missing_.erase(key);
  return objects_.erase(key) > 0;
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
