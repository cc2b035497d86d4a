#include "store/object_relay.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace samphire {

namespace {

// A watch of the platform returns at least once a second; what was not
// confirmed for so long stands behind a platform or a link that is in trouble.
constexpr milliseconds kFresh{1600};
// About a minute of changes on a busy day. Whoever is further behind gets
// everything.
constexpr std::size_t kMaxLog = 2000;
// How often a waiting peer's call looks whether the copy is still fresh.
constexpr milliseconds kLookAgain{300};

}  // namespace

void object_relay::Publish(const std::string& prefix,
                           const watch_batch& batch,
                           bool confirmed) {
  // Lost history: a new listing follows.
  if (batch.cursor == 0)
    return;
  std::lock_guard guard(lock_);
  auto& held = copies_[prefix];
  // From a peer that is behind what is known here.
  if (batch.cursor < held.cursor)
    return;
  if (confirmed)
    held.confirmed = clock_.now();
  Take(held, batch);
  changed_.notify_all();
}

void object_relay::Take(copy& held, const watch_batch& batch) {
  const bool first = held.cursor == 0;
  const auto news =
      batch.reset && !first ? Differences(held, batch) : batch.events;
  if (first)
    held.floor = batch.cursor;
  else if (batch.reset)
    held.gaps.push_back({held.cursor, batch.cursor});
  for (const auto& event : news) {
    if (event.version == 0)
      held.objects.erase(event.key);
    else if (event.value)
      held.objects[event.key] = {event.version, *event.value};
    if (!first)
      held.log.push_back({batch.cursor, event});
  }
  while (held.log.size() > kMaxLog) {
    held.floor = held.log.front().revision;
    held.log.pop_front();
  }
  while (!held.gaps.empty() && held.gaps.front().before <= held.floor)
    held.gaps.pop_front();
  held.cursor = batch.cursor;
}

// A new listing after lost history mostly holds what was known before. Told as
// a whole, it would go to every follower of this entry at once, hundreds of
// kilobytes each, and fill its link while they wait for changes.
std::vector<store_event> object_relay::Differences(const copy& held,
                                                   const watch_batch& listing) {
  std::vector<store_event> changes;
  std::set<std::string> listed;
  for (const auto& event : listing.events) {
    listed.insert(event.key);
    const auto known = held.objects.find(event.key);
    if (known == held.objects.end() || known->second.version != event.version)
      changes.push_back(event);
  }
  for (const auto& [key, object] : held.objects) {
    if (!listed.contains(key))
      changes.push_back({key, 0, std::nullopt});
  }
  return changes;
}

result<watch_batch> object_relay::Watch(const std::string& prefix,
                                        std::uint64_t cursor,
                                        milliseconds wait,
                                        bool await_fresh) {
  const auto until = clock_.now() + wait;
  std::unique_lock guard(lock_);
  while (true) {
    const auto& held = copies_[prefix];
    const auto now = clock_.now();
    const bool fresh = IsFresh(held);
    if (!fresh && (!await_fresh || now >= until))
      return MakeError(result_code::kStoreUnreachable, "no fresh copy");
    if (fresh && !TellsAll(held, cursor))
      return Snapshot(held);
    if (fresh) {
      auto batch = Since(held, cursor);
      if (!batch.events.empty() || now >= until || await_fresh)
        return batch;
    }
    const auto left = std::chrono::ceil<milliseconds>(until - now);
    changed_.wait_for(guard, std::min(left, kLookAgain));
  }
}

// For a peer that knows nothing at all: the platform is away, and what others
// still go by is better than turning every caller away.
result<watch_batch> object_relay::LastKnown(const std::string& prefix) {
  std::lock_guard guard(lock_);
  const auto& held = copies_[prefix];
  if (held.cursor == 0)
    return MakeError(result_code::kStoreUnreachable, "nothing known");
  return Snapshot(held);
}

bool object_relay::IsFresh(const copy& held) const {
  return held.cursor != 0 && clock_.now() - held.confirmed <= kFresh;
}

// A new listing tells what changed since this copy's own cursor. For a peer
// that was ahead of that, objects may have come and gone unseen here.
bool object_relay::TellsAll(const copy& held, std::uint64_t cursor) {
  return cursor >= held.floor &&
         std::ranges::none_of(held.gaps, [cursor](const gap& each) {
           return each.after < cursor && cursor < each.before;
         });
}

watch_batch object_relay::Snapshot(const copy& held) {
  watch_batch batch{.cursor = held.cursor, .reset = true, .events = {}};
  for (const auto& [key, object] : held.objects)
    batch.events.push_back({key, object.version, object.value});
  return batch;
}

// Whoever comes from another source may be ahead; it must not be taken back.
watch_batch object_relay::Since(const copy& held, std::uint64_t cursor) {
  watch_batch batch{
      .cursor = std::max(cursor, held.cursor), .reset = false, .events = {}};
  // In the order of their revisions.
  auto next = std::partition_point(
      held.log.begin(), held.log.end(),
      [cursor](const auto& each) { return each.revision <= cursor; });
  for (; next != held.log.end(); ++next)
    batch.events.push_back(next->event);
  return batch;
}

}  // namespace samphire
