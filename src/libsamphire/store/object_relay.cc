#include "store/object_relay.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace samphire {

namespace {

// Maximum time since the platform last confirmed a replica for it to be served.
// A watch of the platform returns at least once a second; a replica that was
// not confirmed for longer is behind a failing platform or link.
constexpr milliseconds kMaxConfirmationAge{1600};
// Maximum number of logged events per prefix; holds about a minute of changes
// under high load. Peers that are further behind receive a full listing.
constexpr std::size_t kMaxLoggedEvents = 2000;
// Interval at which the waiting call of a peer checks whether the replica is
// still fresh.
constexpr milliseconds kFreshnessCheckInterval{300};

}  // namespace

void object_relay::Publish(const std::string& prefix,
                           const watch_batch& batch,
                           bool confirmed) {
  // The platform has lost its history; a full listing follows.
  if (batch.cursor == 0)
    return;
  std::lock_guard guard(lock_);
  auto& replica = replicas_[prefix];
  // The batch comes from a peer that is behind this replica.
  if (batch.cursor < replica.cursor)
    return;
  if (confirmed)
    replica.confirmed_at = clock_.now();
  ApplyBatch(replica, batch);
  changed_.notify_all();
}

void object_relay::ApplyBatch(prefix_replica& replica,
                              const watch_batch& batch) {
  const bool first = replica.cursor == 0;
  const auto new_events =
      batch.reset && !first ? DiffListing(replica, batch) : batch.events;
  if (first)
    replica.log_start = batch.cursor;
  else if (batch.reset)
    replica.gaps.push_back({replica.cursor, batch.cursor});
  for (const auto& event : new_events) {
    if (event.version == 0)
      replica.objects.erase(event.key);
    else if (event.value)
      replica.objects[event.key] = {event.version, *event.value};
    if (!first)
      replica.log.push_back({batch.cursor, event});
  }
  while (replica.log.size() > kMaxLoggedEvents) {
    replica.log_start = replica.log.front().revision;
    replica.log.pop_front();
  }
  while (!replica.gaps.empty() &&
         replica.gaps.front().before <= replica.log_start)
    replica.gaps.pop_front();
  replica.cursor = batch.cursor;
}

// After lost history a new listing mostly contains what was known before. If it
// were forwarded in full, it would be sent to every follower of this entry at
// once, hundreds of kilobytes each, and saturate the entry's link while the
// followers wait for changes. Only the differences are logged.
std::vector<store_event> object_relay::DiffListing(
    const prefix_replica& replica,
    const watch_batch& listing) {
  std::vector<store_event> changes;
  std::set<std::string> listed;
  for (const auto& event : listing.events) {
    listed.insert(event.key);
    const auto known = replica.objects.find(event.key);
    if (known == replica.objects.end() ||
        known->second.version != event.version)
      changes.push_back(event);
  }
  for (const auto& [key, object] : replica.objects) {
    if (!listed.contains(key))
      changes.push_back({key, 0, std::nullopt});
  }
  return changes;
}

result<watch_batch> object_relay::Watch(const std::string& prefix,
                                        std::uint64_t cursor,
                                        milliseconds wait,
                                        bool await_fresh) {
  const auto deadline = clock_.now() + wait;
  std::unique_lock guard(lock_);
  while (true) {
    const auto& replica = replicas_[prefix];
    const auto now = clock_.now();
    const bool fresh = IsFresh(replica);
    if (!fresh && (!await_fresh || now >= deadline))
      return MakeError(result_code::kStoreUnreachable,
                       "no fresh copy of this prefix");
    if (fresh && !CoversChangesSince(replica, cursor))
      return Snapshot(replica);
    if (fresh) {
      auto batch = ChangesSince(replica, cursor);
      if (!batch.events.empty() || now >= deadline || await_fresh)
        return batch;
    }
    const auto remaining = std::chrono::ceil<milliseconds>(deadline - now);
    changed_.wait_for(guard, std::min(remaining, kFreshnessCheckInterval));
  }
}

// Serves a peer that knows nothing at all while the platform is unreachable:
// the state that other entries still use is better than refusing all callers.
result<watch_batch> object_relay::LastKnown(const std::string& prefix) {
  std::lock_guard guard(lock_);
  const auto& replica = replicas_[prefix];
  if (replica.cursor == 0)
    return MakeError(result_code::kStoreUnreachable, "no copy of this prefix");
  return Snapshot(replica);
}

bool object_relay::IsFresh(const prefix_replica& replica) const {
  return replica.cursor != 0 &&
         clock_.now() - replica.confirmed_at <= kMaxConfirmationAge;
}

// A new listing yields the changes since this replica's own cursor. For a peer
// that was ahead of that cursor, objects may have been created and deleted
// again without being seen here.
bool object_relay::CoversChangesSince(const prefix_replica& replica,
                                      std::uint64_t cursor) {
  return cursor >= replica.log_start &&
         std::ranges::none_of(replica.gaps, [cursor](const gap& each) {
           return each.after < cursor && cursor < each.before;
         });
}

watch_batch object_relay::Snapshot(const prefix_replica& replica) {
  watch_batch batch{.cursor = replica.cursor, .reset = true, .events = {}};
  for (const auto& [key, object] : replica.objects)
    batch.events.push_back({key, object.version, object.value});
  return batch;
}

// A peer that used another source before may be ahead of this replica; its
// cursor must not go back.
watch_batch object_relay::ChangesSince(const prefix_replica& replica,
                                       std::uint64_t cursor) {
  watch_batch batch{
      .cursor = std::max(cursor, replica.cursor), .reset = false, .events = {}};
  // The log is ordered by revision.
  auto next = std::partition_point(
      replica.log.begin(), replica.log.end(),
      [cursor](const auto& each) { return each.revision <= cursor; });
  for (; next != replica.log.end(); ++next)
    batch.events.push_back(next->event);
  return batch;
}

}  // namespace samphire
