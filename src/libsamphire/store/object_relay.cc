#include "store/object_relay.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "base/thread_processor_time.h"

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
// Interval at which the waiting call of a peer checks whether the replica is
// still fresh.
constexpr milliseconds kFreshnessCheckInterval{300};

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

// Whether the change needs no earlier version of the object.
bool IsComplete(const object_change& change) {
  const auto* patch = std::get_if<value_patch>(&change);
  return patch == nullptr || patch->base_version == 0;
}

// Returns the last event of each object. A series of versions made in quick
// succession arrives in one batch, and only the last one is of use.
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

}  // namespace

// Peers that wait here turn to others as soon as this entry can't follow the
// platform. If they waited for the age of the last confirmation, a change could
// take longer to reach them than a target that leaves goes on serving.
void object_relay::OnWatchFailed(const std::string& prefix) {
  std::lock_guard guard(lock_);
  auto& replica = replicas_[prefix];
  replica.confirmed_at =
      std::min(replica.confirmed_at,
               clock_.now() - kMaxConfirmationAge + kFailedWatchGrace);
  replica.failed_at = clock_.now();
  changed_.notify_all();
}

// The patches are made without the lock, since peers wait for it.
void object_relay::Publish(const std::string& prefix,
                           const watch_batch& batch,
                           bool confirmed) {
  // The platform has lost its history; a full listing follows.
  if (!batch.cursor.IsSet())
    return;
  const auto latest = WithoutSuperseded(batch);
  auto patches = confirmed ? MakePatches(prefix, latest) : PatchesOf(latest);
  std::lock_guard guard(lock_);
  auto& replica = replicas_[prefix];
  // The batch comes from a peer that is behind this replica.
  if (batch.cursor < replica.cursor)
    return;
  if (confirmed)
    replica.confirmed_at = clock_.now();
  ApplyBatch(replica, latest, std::move(patches));
  changed_.notify_all();
}

// Followers receive the patches in place of the values. If each received the
// whole value of a large object for each of its versions, they would saturate
// the link of this entry: calls would time out in the middle of a response, and
// no other change would get through either.
object_relay::patch_map object_relay::MakePatches(const std::string& prefix,
                                                  const watch_batch& batch) {
  std::set<std::string> keys;
  for (const auto& event : batch.events) {
    if (IsLarge(event))
      keys.insert(event.key);
  }
  auto bases = CopyObjects(prefix, keys);
  patch_map patches;
  for (const auto& event : batch.events) {
    if (!IsLarge(event))
      continue;
    const auto& base = bases[event.key];
    if (base.version == event.version)
      continue;
    const auto start = ThreadProcessorTime();
    auto& patch = patches[event.key];
    patch = MakePatch(base.version, base.value, *event.value);
    const auto used = ThreadProcessorTime() - start;
    Log(log_level::kInfo, "patch-made",
        {{"key", event.key},
         {"revision", event.version},
         {"value_bytes", event.value->size()},
         {"patch_bytes", patch.bytes.size()},
         {"processor_ms",
          std::chrono::duration<double, std::milli>(used).count()}});
  }
  return patches;
}

// An entry that follows others passes their patches on. If it logged the whole
// values, they would take its memory, and what asks it while its watchers are
// gone would get them one after the other.
object_relay::patch_map object_relay::PatchesOf(const watch_batch& batch) {
  patch_map patches;
  for (const auto& event : batch.events) {
    if (event.patch)
      patches[event.key] = *event.patch;
  }
  return patches;
}

object_relay::object_map object_relay::CopyObjects(
    const std::string& prefix,
    const std::set<std::string>& keys) {
  std::lock_guard guard(lock_);
  const auto& objects = replicas_[prefix].objects;
  object_map copies;
  for (const auto& key : keys) {
    const auto found = objects.find(key);
    if (found != objects.end())
      copies.insert(*found);
  }
  return copies;
}

void object_relay::ApplyBatch(prefix_replica& replica,
                              const watch_batch& batch,
                              patch_map patches) {
  const bool first = !replica.cursor.IsSet();
  const auto new_events =
      batch.reset && !first ? DiffListing(replica, batch) : batch.events;
  if (first)
    replica.log_start = batch.cursor;
  else if (batch.reset || batch.cursor.era != replica.cursor.era)
    replica.gaps.push_back({replica.cursor, batch.cursor});
  for (const auto& event : new_events) {
    if (IsKnownFromLater(replica, event, batch.cursor))
      continue;
    patched_event logged{event.key, event.version, object_deletion{},
                         batch.cursor.era};
    if (event.version == 0) {
      replica.objects.erase(event.key);
    } else if (event.value) {
      auto& stored = replica.objects[event.key];
      const auto patch = patches.find(event.key);
      if (patch != patches.end() &&
          patch->second.base_version == stored.version)
        logged.change = std::move(patch->second);
      else
        logged.change = *event.value;
      stored = {event.version, *event.value, batch.cursor.era};
    }
    if (!first)
      AppendToLog(replica, batch.cursor, std::move(logged));
  }
  TrimLog(replica);
  replica.cursor = batch.cursor;
}

// The pages of a listing may be of different times, and the changes that follow
// may be ones that a later page shows already.
bool object_relay::IsKnownFromLater(const prefix_replica& replica,
                                    const store_event& event,
                                    store_cursor position) {
  const auto known = replica.objects.find(event.key);
  const auto revision = event.version == 0 ? position.revision : event.version;
  return known != replica.objects.end() && known->second.era == position.era &&
         revision < known->second.version;
}

// After lost history a new listing mostly contains what was known before. If it
// were forwarded in full, it would be sent to every follower of this entry at
// once, hundreds of kilobytes each, and saturate the entry's link while the
// followers wait for changes. Only the differences are logged. Values are
// compared as well, since a store that comes back from a copy gives out the
// same revisions again.
std::vector<store_event> object_relay::DiffListing(
    const prefix_replica& replica,
    const watch_batch& listing) {
  std::vector<store_event> changes;
  std::set<std::string> listed;
  for (const auto& event : listing.events) {
    listed.insert(event.key);
    const auto known = replica.objects.find(event.key);
    if (known == replica.objects.end() ||
        known->second.version != event.version ||
        known->second.value != event.value)
      changes.push_back(event);
  }
  for (const auto& [key, object] : replica.objects) {
    if (!listed.contains(key))
      changes.push_back({key, 0, std::nullopt});
  }
  return changes;
}

void object_relay::AppendToLog(prefix_replica& replica,
                               store_cursor position,
                               patched_event event) {
  replica.log_bytes += SizeOf(event.change);
  replica.log.push_back({position, std::move(event)});
}

void object_relay::TrimLog(prefix_replica& replica) {
  while (replica.log.size() > kMaxLoggedEvents ||
         replica.log_bytes > kMaxLoggedBytes) {
    replica.log_start = replica.log.front().position;
    replica.log_bytes -= SizeOf(replica.log.front().event.change);
    replica.log.pop_front();
  }
  while (!replica.gaps.empty() &&
         replica.gaps.front().before <= replica.log_start)
    replica.gaps.pop_front();
}

result<watch_batch> object_relay::Watch(const std::string& prefix,
                                        store_cursor cursor,
                                        milliseconds wait,
                                        bool await_fresh) {
  std::unique_lock guard(lock_);
  BOOST_OUTCOME_TRY(replica,
                    AwaitChanges(guard, prefix, cursor, wait, await_fresh));
  return CoversChangesSince(*replica, cursor) ? ChangesSince(*replica, cursor)
                                              : Snapshot(*replica);
}

result<patched_batch> object_relay::WatchPatched(const std::string& prefix,
                                                 store_cursor cursor,
                                                 milliseconds wait,
                                                 bool await_fresh) {
  std::unique_lock guard(lock_);
  BOOST_OUTCOME_TRY(replica,
                    AwaitChanges(guard, prefix, cursor, wait, await_fresh));
  return CoversChangesSince(*replica, cursor)
             ? PatchedChangesSince(*replica, cursor)
             : ToPatchedBatch(Snapshot(*replica));
}

result<const object_relay::prefix_replica*> object_relay::AwaitChanges(
    std::unique_lock<std::mutex>& guard,
    const std::string& prefix,
    store_cursor cursor,
    milliseconds wait,
    bool await_fresh) {
  const auto deadline = clock_.now() + wait;
  while (true) {
    const auto& replica = replicas_[prefix];
    const auto now = clock_.now();
    const bool fresh = IsFresh(replica);
    if (replica.cursor.era < cursor.era && (!await_fresh || now >= deadline))
      return MakeError(result_code::kStoreUnreachable,
                       "the copy of this prefix is of an earlier era");
    const bool may_wait = await_fresh && now < deadline &&
                          now - replica.failed_at >= kFailedWatchMemory;
    if (!fresh && !may_wait)
      return MakeError(result_code::kStoreUnreachable,
                       "no fresh copy of this prefix");
    const bool has_changes = !CoversChangesSince(replica, cursor) ||
                             FirstAfter(replica, cursor) != replica.log.end();
    if (fresh && replica.cursor.era >= cursor.era &&
        (has_changes || now >= deadline || await_fresh))
      return &replica;
    const auto remaining = std::chrono::ceil<milliseconds>(deadline - now);
    changed_.wait_for(guard, std::min(remaining, kFreshnessCheckInterval));
  }
}

// The events of one object may form a chain of patches. A replica that followed
// another peer may have some of its versions already.
result<watch_batch> object_relay::ResolvePatches(const std::string& prefix,
                                                 const patched_batch& batch) {
  std::set<std::string> keys;
  for (const auto& event : batch.events) {
    if (!IsComplete(event.change))
      keys.insert(event.key);
  }
  auto resolved = CopyObjects(prefix, keys);
  watch_batch whole{.cursor = batch.cursor, .reset = batch.reset, .events = {}};
  for (const auto& event : batch.events) {
    auto& object = resolved[event.key];
    const auto* patch = std::get_if<value_patch>(&event.change);
    const auto* value = std::get_if<std::string>(&event.change);
    if (patch != nullptr) {
      if (object.era == event.era && object.version >= event.version)
        continue;
      if (patch->base_version != 0 && patch->base_version != object.version)
        return MakeError(result_code::kPeerMalformed,
                         "patch of another version of " + event.key);
      BOOST_OUTCOME_TRY(
          patched, ApplyPatch(*patch, patch->base_version == 0 ? std::string()
                                                               : object.value));
      object.value = std::move(patched);
    } else if (value != nullptr) {
      object.value = *value;
    }
    object.version = event.version;
    object.era = event.era;
    whole.events.push_back({event.key, event.version, std::nullopt});
    if (event.version != 0)
      whole.events.back().value = object.value;
    if (patch != nullptr)
      whole.events.back().patch = *patch;
  }
  return WithoutSuperseded(whole);
}

// Serves a peer that knows nothing at all while the platform is unreachable:
// the state that other entries still use is better than refusing all callers.
result<watch_batch> object_relay::LastKnown(const std::string& prefix) {
  std::lock_guard guard(lock_);
  const auto& replica = replicas_[prefix];
  if (!replica.cursor.IsSet())
    return MakeError(result_code::kStoreUnreachable, "no copy of this prefix");
  return Snapshot(replica);
}

bool object_relay::IsFresh(const prefix_replica& replica) const {
  return replica.cursor.IsSet() &&
         clock_.now() - replica.confirmed_at <= kMaxConfirmationAge;
}

// A new listing yields the changes since this replica's own cursor. For a peer
// that was ahead of that cursor, objects may have been created and deleted
// again without being seen here.
bool object_relay::CoversChangesSince(const prefix_replica& replica,
                                      store_cursor cursor) {
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

// The log is ordered by position.
std::deque<object_relay::logged_event>::const_iterator object_relay::FirstAfter(
    const prefix_replica& replica,
    store_cursor cursor) {
  return std::partition_point(
      replica.log.begin(), replica.log.end(),
      [cursor](const auto& each) { return each.position <= cursor; });
}

// A peer that used another source before may be ahead of this replica; its
// cursor must not go back.
watch_batch object_relay::ChangesSince(const prefix_replica& replica,
                                       store_cursor cursor) {
  watch_batch batch{
      .cursor = std::max(cursor, replica.cursor), .reset = false, .events = {}};
  for (auto next = FirstAfter(replica, cursor); next != replica.log.end();
       ++next) {
    const auto& key = next->event.key;
    const auto found = replica.objects.find(key);
    if (found == replica.objects.end())
      batch.events.push_back({key, 0, std::nullopt});
    else
      batch.events.push_back({key, found->second.version, found->second.value});
  }
  return WithoutSuperseded(batch);
}

// Leaves out what a later event of the same object makes needless.
patched_batch object_relay::PatchedChangesSince(const prefix_replica& replica,
                                                store_cursor cursor) {
  patched_batch batch{
      .cursor = std::max(cursor, replica.cursor), .reset = false, .events = {}};
  std::set<std::string_view> complete;
  const auto first = std::make_reverse_iterator(FirstAfter(replica, cursor));
  for (auto next = replica.log.rbegin(); next != first; ++next) {
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

}  // namespace samphire
