#include "traffic/region_store.h"

#include <utility>

namespace samphire {

void region_store::Write(const std::string& key, const std::string& value) {
  std::lock_guard guard(lock_);
  ++revision_;
  objects_[key] = {key, revision_, value};
  log_.push_back({key, revision_, value});
  changed_.notify_all();
}

void region_store::DropHistory() {
  std::lock_guard guard(lock_);
  log_.clear();
  dropped_revision_ = revision_;
  changed_.notify_all();
}

watch_batch region_store::List(const std::string& prefix) const {
  watch_batch listing{.cursor = revision_, .reset = true, .events = {}};
  for (const auto& [key, object] : objects_) {
    if (key.starts_with(prefix))
      listing.events.push_back({key, object.version, object.value});
  }
  return listing;
}

watch_batch region_store::Watch(const std::string& prefix,
                                store_cursor cursor,
                                milliseconds wait) {
  const auto deadline = std::chrono::steady_clock::now() + wait;
  std::unique_lock guard(lock_);
  if (cursor == 0)
    return List(prefix);
  while (true) {
    if (cursor.revision < dropped_revision_)
      return List(prefix);
    watch_batch batch{.cursor = revision_, .reset = false, .events = {}};
    for (const auto& event : log_) {
      if (event.version > cursor && event.key.starts_with(prefix))
        batch.events.push_back(event);
    }
    if (!batch.events.empty() || std::chrono::steady_clock::now() >= deadline)
      return batch;
    changed_.wait_until(guard, deadline);
  }
}

}  // namespace samphire
