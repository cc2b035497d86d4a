#include "store/object_relay.h"

#include <optional>
#include <set>
#include <utility>

#include "base/log.h"
#include "base/thread_processor_time.h"

namespace samphire {

namespace {

// Interval at which the waiting call of a peer checks whether the replica is
// still fresh.
constexpr milliseconds kFreshnessCheckInterval{300};

}  // namespace

void object_relay::OnWatchFailed(const std::string& prefix) {
  std::lock_guard guard(lock_);
  replicas_[prefix].OnWatchFailed(clock_.now());
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
  if (batch.cursor < replica.cursor())
    return;
  if (confirmed)
    replica.OnConfirmed(clock_.now());
  replica.Apply(latest, std::move(patches));
  changed_.notify_all();
}

// Followers receive the patches in place of the values. If each received the
// whole value of a large object for each of its versions, they would saturate
// the link of this entry: calls would time out in the middle of a response, and
// no other change would get through either.
object_replica::patch_map object_relay::MakePatches(const std::string& prefix,
                                                    const watch_batch& batch) {
  std::set<std::string> keys;
  for (const auto& event : batch.events) {
    if (IsLarge(event))
      keys.insert(event.key);
  }
  auto bases = CopyObjects(prefix, keys);
  object_replica::patch_map patches;
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
object_replica::patch_map object_relay::PatchesOf(const watch_batch& batch) {
  object_replica::patch_map patches;
  for (const auto& event : batch.events) {
    if (event.patch)
      patches[event.key] = *event.patch;
  }
  return patches;
}

object_replica::object_map object_relay::CopyObjects(
    const std::string& prefix,
    const std::set<std::string>& keys) {
  std::lock_guard guard(lock_);
  return replicas_[prefix].CopyObjects(keys);
}

result<watch_batch> object_relay::Watch(const std::string& prefix,
                                        store_cursor cursor,
                                        milliseconds wait,
                                        bool await_fresh) {
  std::unique_lock guard(lock_);
  BOOST_OUTCOME_TRY(replica,
                    AwaitChanges(guard, prefix, cursor, wait, await_fresh));
  return replica->CoversChangesSince(cursor) ? replica->ChangesSince(cursor)
                                             : replica->Snapshot();
}

result<patched_batch> object_relay::WatchPatched(const std::string& prefix,
                                                 store_cursor cursor,
                                                 milliseconds wait,
                                                 bool await_fresh) {
  std::unique_lock guard(lock_);
  BOOST_OUTCOME_TRY(replica,
                    AwaitChanges(guard, prefix, cursor, wait, await_fresh));
  return replica->CoversChangesSince(cursor)
             ? replica->PatchedChangesSince(cursor)
             : ToPatchedBatch(replica->Snapshot());
}

result<const object_replica*> object_relay::AwaitChanges(
    std::unique_lock<std::mutex>& guard,
    const std::string& prefix,
    store_cursor cursor,
    milliseconds wait,
    bool await_fresh) {
  const auto deadline = clock_.now() + wait;
  while (true) {
    const auto& replica = replicas_[prefix];
    const auto now = clock_.now();
    const bool fresh = replica.IsFresh(now);
    if (replica.cursor().era < cursor.era && (!await_fresh || now >= deadline))
      return MakeError(result_code::kStoreUnreachable,
                       "the copy of this prefix is of an earlier era");
    const bool may_wait =
        await_fresh && now < deadline && !replica.HasFailedLately(now);
    if (!fresh && !may_wait)
      return MakeError(result_code::kStoreUnreachable,
                       "no fresh copy of this prefix");
    const bool has_changes =
        !replica.CoversChangesSince(cursor) || replica.HasChangesSince(cursor);
    if (fresh && replica.cursor().era >= cursor.era &&
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
  if (!replica.cursor().IsSet())
    return MakeError(result_code::kStoreUnreachable, "no copy of this prefix");
  return replica.Snapshot();
}

}  // namespace samphire
