#include "store/object_replica.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <utility>
#include <variant>

namespace samphire {

namespace {

// Maximum time since the platform last confirmed a replica for it to be served.
// A watch of the platform returns at least once a second; a replica that was
// not confirmed for longer is behind a failing platform or link.
constexpr milliseconds kMaxConfirmationAge{1600};
// Time for which a replica stays fresh after a watch failed: enough for another
// watch.
constexpr milliseconds kFailedWatchGrace{400};
// Time after a failed watch for which no peer is kept waiting for a fresh
// replica. Entries that are not watchers wait longer before the next one.
constexpr milliseconds kFailedWatchMemory{800};
// Maximum number of logged events per prefix; holds about a minute of changes
// under high load. Peers that are further behind receive a full listing.
constexpr std::size_t kMaxLoggedEvents = 2000;
// Maximum size of the logged values and patches per prefix. Versions of a large
// object would otherwise fill the memory of a small instance.
constexpr std::size_t kMaxLoggedBytes = std::size_t{4} << 20U;

std::size_t SizeOf(const object_change& change) {
  struct visitor {
    std::size_t operator()(const object_deletion& /*none*/) const { return 0; }
    std::size_t operator()(const std::string& value) const {
      return value.size();
    }
    std::size_t operator()(const value_patch& patch) const {
      return patch.bytes.size();
    }
  };
  return std::visit(visitor{}, change);
}

}  // namespace

void object_replica::Apply(const watch_batch& batch, patch_map patches) {
  const bool first = !cursor_.IsSet();
  const auto new_events =
      batch.reset && !first ? DiffListing(batch) : batch.events;
  if (first)
    log_start_ = batch.cursor;
  else if (batch.reset || batch.cursor.era != cursor_.era)
    gaps_.push_back({cursor_, batch.cursor});
  for (const auto& event : new_events) {
    if (IsKnownFromLater(event, batch.cursor))
      continue;
    patched_event logged{event.key, event.version, object_deletion{},
                         batch.cursor.era};
    if (event.version == 0) {
      objects_.erase(event.key);
    } else if (event.value) {
      auto& stored = objects_[event.key];
      const auto patch = patches.find(event.key);
      if (patch != patches.end() &&
          patch->second.base_version == stored.version)
        logged.change = std::move(patch->second);
      else
        logged.change = *event.value;
      stored = {event.version, *event.value, batch.cursor.era};
    }
    if (!first)
      AppendToLog(batch.cursor, std::move(logged));
  }
  TrimLog();
  cursor_ = batch.cursor;
}

// The pages of a listing may be of different times, and the changes that follow
// may be ones that a later page shows already.
bool object_replica::IsKnownFromLater(const store_event& event,
                                      store_cursor position) const {
  const auto known = objects_.find(event.key);
  const auto revision = event.version == 0 ? position.revision : event.version;
  return known != objects_.end() && known->second.era == position.era &&
         revision < known->second.version;
}

// After lost history a new listing mostly contains what was known before. If it
// were forwarded in full, it would be sent to every follower of this entry at
// once, hundreds of kilobytes each, and saturate the entry's link while the
// followers wait for changes. Only the differences are logged. Values are
// compared as well, since a store that comes back from a copy gives out the
// same revisions again.
std::vector<store_event> object_replica::DiffListing(
    const watch_batch& listing) const {
  std::vector<store_event> changes;
  std::set<std::string> listed;
  for (const auto& event : listing.events) {
    listed.insert(event.key);
    const auto known = objects_.find(event.key);
    if (known == objects_.end() || known->second.version != event.version ||
        known->second.value != event.value)
      changes.push_back(event);
  }
  for (const auto& [key, object] : objects_) {
    if (!listed.contains(key))
      changes.push_back({key, 0, std::nullopt});
  }
  return changes;
}

void object_replica::AppendToLog(store_cursor position, patched_event event) {
  log_bytes_ += SizeOf(event.change);
  log_.push_back({position, std::move(event)});
}

void object_replica::TrimLog() {
  while (log_.size() > kMaxLoggedEvents || log_bytes_ > kMaxLoggedBytes) {
    log_start_ = log_.front().position;
    log_bytes_ -= SizeOf(log_.front().event.change);
    log_.pop_front();
  }
  while (!gaps_.empty() && gaps_.front().before <= log_start_)
    gaps_.pop_front();
}

// Peers that wait here turn to others as soon as this entry can't follow the
// platform. If they waited for the age of the last confirmation, a change could
// take longer to reach them than a target that leaves goes on serving.
void object_replica::OnWatchFailed(time_point now) {
  confirmed_at_ =
      std::min(confirmed_at_, now - kMaxConfirmationAge + kFailedWatchGrace);
  failed_at_ = now;
}

bool object_replica::IsFresh(time_point now) const {
  return cursor_.IsSet() && now - confirmed_at_ <= kMaxConfirmationAge;
}

bool object_replica::HasFailedLately(time_point now) const {
  return now - failed_at_ < kFailedWatchMemory;
}

bool object_replica::HasChangesSince(store_cursor cursor) const {
  return FirstAfter(cursor) != log_.end();
}

// A new listing yields the changes since this replica's own cursor. For a peer
// that was ahead of that cursor, objects may have been created and deleted
// again without being seen here.
bool object_replica::CoversChangesSince(store_cursor cursor) const {
  return cursor >= log_start_ &&
         std::ranges::none_of(gaps_, [cursor](const gap& each) {
           return each.after < cursor && cursor < each.before;
         });
}

watch_batch object_replica::Snapshot() const {
  watch_batch batch{.cursor = cursor_, .reset = true, .events = {}};
  for (const auto& [key, object] : objects_)
    batch.events.push_back({key, object.version, object.value});
  return batch;
}

// The log is ordered by position.
std::deque<object_replica::logged_event>::const_iterator
object_replica::FirstAfter(store_cursor cursor) const {
  return std::partition_point(
      log_.begin(), log_.end(),
      [cursor](const auto& each) { return each.position <= cursor; });
}

// A peer that used another source before may be ahead of this replica; its
// cursor must not go back.
watch_batch object_replica::ChangesSince(store_cursor cursor) const {
  watch_batch batch{
      .cursor = std::max(cursor, cursor_), .reset = false, .events = {}};
  for (auto next = FirstAfter(cursor); next != log_.end(); ++next) {
    const auto& key = next->event.key;
    const auto found = objects_.find(key);
    if (found == objects_.end())
      batch.events.push_back({key, 0, std::nullopt});
    else
      batch.events.push_back({key, found->second.version, found->second.value});
  }
  return WithoutSuperseded(batch);
}

// Leaves out what a later event of the same object makes needless.
patched_batch object_replica::PatchedChangesSince(store_cursor cursor) const {
  patched_batch batch{
      .cursor = std::max(cursor, cursor_), .reset = false, .events = {}};
  std::set<std::string_view> complete;
  const auto first = std::make_reverse_iterator(FirstAfter(cursor));
  for (auto next = log_.rbegin(); next != first; ++next) {
    const auto& event = next->event;
    if (complete.contains(event.key))
      continue;
    if (IsComplete(event.change))
      complete.insert(event.key);
    batch.events.push_back(event);
  }
  std::ranges::reverse(batch.events);
  return batch;
}

object_replica::object_map object_replica::CopyObjects(
    const std::set<std::string>& keys) const {
  object_map copies;
  for (const auto& key : keys) {
    const auto found = objects_.find(key);
    if (found != objects_.end())
      copies.insert(*found);
  }
  return copies;
}

watch_batch WithoutSuperseded(const watch_batch& batch) {
  watch_batch latest{
      .cursor = batch.cursor, .reset = batch.reset, .events = {}};
  std::set<std::string_view> seen;
  for (auto event = batch.events.rbegin(); event != batch.events.rend();
       ++event) {
    if (seen.insert(event->key).second)
      latest.events.push_back(*event);
  }
  std::ranges::reverse(latest.events);
  return latest;
}

}  // namespace samphire
