#include "store/stand_in_objects.h"

#include <algorithm>

namespace samphire {

stand_in_objects::stand_in_objects(const clock_source& clock,
                                   std::size_t max_logged_events)
    : clock_(clock), max_logged_events_(max_logged_events) {}

result<store_object> stand_in_objects::Get(const std::string& key) {
  std::lock_guard guard(lock_);
  const auto found = objects_.find(key);
  if (found == objects_.end())
    return MakeError(result_code::kStoreNotFound, key);
  return found->second;
}

result<std::uint64_t> stand_in_objects::Put(const std::string& key,
                                            const std::string& value,
                                            std::uint64_t expected) {
  if (value.size() > kMaxValueBytes)
    return MakeError(result_code::kStoreValueTooLarge, key);
  std::lock_guard guard(lock_);
  const auto found = objects_.find(key);
  const std::uint64_t current =
      found == objects_.end() ? 0 : found->second.version;
  if (current != expected)
    return MakeError(result_code::kStoreConflict, key);
  const std::uint64_t version = revision_ + 1;
  objects_[key] = store_object{key, version, value};
  Record(key, version);
  return version;
}

result<void> stand_in_objects::Delete(const std::string& key,
                                      std::uint64_t expected) {
  std::lock_guard guard(lock_);
  const auto found = objects_.find(key);
  if (found == objects_.end())
    return MakeError(result_code::kStoreNotFound, key);
  if (found->second.version != expected)
    return MakeError(result_code::kStoreConflict, key);
  objects_.erase(found);
  Record(key, 0);
  return Success();
}

result<std::vector<store_object>> stand_in_objects::List(
    const std::string& prefix) {
  std::lock_guard guard(lock_);
  std::vector<store_object> found;
  for (auto it = objects_.lower_bound(prefix);
       it != objects_.end() && it->first.starts_with(prefix); ++it) {
    found.push_back(it->second);
  }
  return found;
}

result<watch_batch> stand_in_objects::Watch(const std::string& prefix,
                                            store_cursor cursor,
                                            milliseconds wait) {
  std::unique_lock guard(lock_);
  watch_batch batch;
  batch.cursor = cursor;
  if (!cursor.IsSet()) {
    batch.cursor = {revision_, era_};
    return batch;
  }
  // A caller that does not name the era gets that of its call.
  const auto era = cursor.era == 0 ? era_ : cursor.era;
  changed_.wait_for(guard, wait, [&] {
    return watches_interrupted_ || era != era_ || CollectEvents(prefix, batch);
  });
  batch.reset |= era != era_;
  batch.cursor = {revision_, era_};
  return batch;
}

result<std::vector<instance_info>> stand_in_objects::Instances() {
  std::lock_guard guard(lock_);
  return instances_.VisibleAt(clock_.now());
}

stand_in_objects::copy stand_in_objects::MakeCopy() {
  std::lock_guard guard(lock_);
  return {objects_, revision_};
}

void stand_in_objects::Restore(const copy& from) {
  std::lock_guard guard(lock_);
  objects_ = from.objects;
  revision_ = from.revision;
  while (!log_.empty() && log_.back().cursor > revision_)
    log_.pop_back();
  trimmed_cursor_ = std::min(trimmed_cursor_, revision_);
  ++era_;
  changed_.notify_all();
}

void stand_in_objects::DropHistory() {
  std::lock_guard guard(lock_);
  log_.clear();
  trimmed_cursor_ = revision_;
  changed_.notify_all();
}

std::uint64_t stand_in_objects::era() {
  std::lock_guard guard(lock_);
  return era_;
}

void stand_in_objects::SetInstance(const instance_info& instance) {
  std::lock_guard guard(lock_);
  instances_.Set(instance, clock_.now());
}

void stand_in_objects::RemoveInstance(const std::string& name) {
  std::lock_guard guard(lock_);
  instances_.Remove(name, clock_.now());
}

void stand_in_objects::SetInstanceLag(milliseconds lag) {
  std::lock_guard guard(lock_);
  instances_.set_lag(lag);
}

void stand_in_objects::SetWatchesInterrupted(bool interrupted) {
  std::lock_guard guard(lock_);
  watches_interrupted_ = interrupted;
  changed_.notify_all();
}

void stand_in_objects::Record(const std::string& key, std::uint64_t version) {
  ++revision_;
  log_.push_back({revision_, {key, version}});
  if (log_.size() > max_logged_events_) {
    trimmed_cursor_ = log_.front().cursor;
    log_.pop_front();
  }
  changed_.notify_all();
}

bool stand_in_objects::CollectEvents(const std::string& prefix,
                                     watch_batch& batch) const {
  // A cursor above the current revision was issued before a restart that lost
  // the log.
  batch.reset = batch.cursor.revision < trimmed_cursor_ ||
                batch.cursor.revision > revision_;
  batch.events.clear();
  if (batch.reset)
    return true;
  for (const auto& entry : log_) {
    if (entry.cursor > batch.cursor.revision &&
        entry.event.key.starts_with(prefix))
      batch.events.push_back(entry.event);
  }
  return !batch.events.empty();
}

}  // namespace samphire
