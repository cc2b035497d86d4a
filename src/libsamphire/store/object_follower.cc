#include "store/object_follower.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace samphire {

namespace {

// Wait time of one watch. A store that swallows calls is noticed only when a
// watch times out, and a change made meanwhile is seen that much later; shorter
// waits cause more calls, each of which is billed.
constexpr milliseconds kWatchWait{3000};
// Wait time of a watch while the platform does not respond. Short, so that a
// swallowed call is abandoned soon and the platform's return is not missed by a
// watch sent a moment before it.
constexpr milliseconds kOutageWatchWait{50};
// Delay after a watch that returned changes, so that changes made in quick
// succession are received in one batch: each watch that returns is a call.
// Urgent changes have to be known within two seconds.
constexpr milliseconds kBatchDelay{200};
// Bounds of the exponential backoff after failed watches.
constexpr milliseconds kMinBackoff{150};
constexpr milliseconds kMaxBackoff{500};

}  // namespace

object_follower::object_follower(object_watcher& store,
                                 const clock_source& clock,
                                 std::string prefix,
                                 change_handler on_change,
                                 object_ranker ranker)
    : store_(store),
      clock_(clock),
      prefix_(std::move(prefix)),
      on_change_(std::move(on_change)),
      mirror_(std::move(ranker)) {}

void object_follower::Start() {
  last_contact_ = clock_.now();
  thread_.Start([this] { return Step(); });
}

milliseconds object_follower::Step() {
  std::unique_lock guard(lock_);
  auto wait = disconnected_ ? kOutageWatchWait : kWatchWait;
  if (const auto due = mirror_.expiry()) {
    const auto remaining = std::chrono::ceil<milliseconds>(*due - clock_.now());
    wait = std::clamp(remaining, milliseconds{1}, wait);
  }
  const auto requested = mirror_.cursor();
  guard.unlock();
  const auto batch = store_.Watch(prefix_, requested, wait);
  guard.lock();
  if (!batch)
    return OnFailure(batch.error());
  OnSuccess();
  // A listing was offered meanwhile, and this batch is from before it.
  if (mirror_.cursor() != requested &&
      batch.value().cursor < mirror_.position())
    return milliseconds{0};
  Apply(batch.value());
  if (!mirror_.cursor().IsSet())
    return ListingDelay();
  return batch.value().events.empty() ? milliseconds{0} : kBatchDelay;
}

void object_follower::Offer(const watch_batch& listing) {
  std::lock_guard guard(lock_);
  if (listing.cursor > mirror_.position())
    Apply(listing);
}

void object_follower::Apply(const watch_batch& batch) {
  if (!batch.events.empty() || batch.reset)
    source_ = batch.source;
  bool changed = mirror_.Apply(batch, clock_.now());
  changed |= mirror_.Expire(clock_.now());
  changed |= redelivery_requested_.exchange(false);
  if (!mirror_.cursor().IsSet())
    return;
  if (changed || !delivered_once_) {
    delivered_once_ = true;
    on_change_(mirror_.objects());
  }
  if (on_confirmed_ && batch.confirmed)
    on_confirmed_(mirror_.position());
}

// A source that stays behind would otherwise be listed several times a second
// by each entry, at the full price of a listing.
milliseconds object_follower::ListingDelay() const {
  constexpr std::uint32_t kMaxDoublings = 4;
  return kBatchDelay *
         (1U << std::min(mirror_.skipped_batches(), kMaxDoublings));
}

milliseconds object_follower::OnFailure(const error& failure) {
  if (!std::exchange(disconnected_, true)) {
    Log(log_level::kWarning, "store-lost",
        {{"prefix", prefix_},
         {"code", static_cast<int>(failure.code)},
         {"reason", NameOf(failure.code)},
         {"detail", failure.detail}});
  }
  if (mirror_.Expire(clock_.now()))
    on_change_(mirror_.objects());
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  return backoff_;
}

void object_follower::OnSuccess() {
  const auto now = clock_.now();
  if (std::exchange(disconnected_, false)) {
    const auto outage = now - last_contact_;
    Log(log_level::kInfo, "store-regained",
        {{"prefix", prefix_},
         {"seconds", std::chrono::duration<double>(outage).count()}});
  }
  last_contact_ = now;
  backoff_ = milliseconds{0};
}

}  // namespace samphire
