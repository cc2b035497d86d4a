#include "traffic/shared_store.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "base/log.h"
#include "gateway/peer_post.h"

namespace samphire {

namespace {

// A watcher's own watch returns this often, which tells it and its peers that
// the platform is still there. Few entries pay for it.
constexpr milliseconds kPlatformWait{1000};
// A peer that stands still is given up after this and the margin; with two such
// peers a change is still seen within three seconds.
constexpr milliseconds kPeerWait{1000};
constexpr milliseconds kPeerMargin{250};
// A peer that did not answer is not asked again for so long, and one that has
// no fresh copy for this.
constexpr milliseconds kSilencePause{3000};
constexpr milliseconds kDeclinedPause{500};
// Time limit for a deputy to obtain a fresh copy.
constexpr milliseconds kDeputyWait{400};
// Delay after a deputy returns no events. A deputy with a fresh copy replies
// immediately even if nothing has changed, so without a delay its followers
// would overload it while the watchers cannot reach the platform.
constexpr milliseconds kNoEventsPause{250};
// When no watcher has a fresh copy, the platform is mostly down, and a whole
// fleet that asks it at once would be its next trouble.
constexpr milliseconds kDeputyPause{1000};
constexpr milliseconds kFollowerPause{2000};
// How often an entry that has just started asks the watchers that it knows by
// then.
constexpr milliseconds kMeetingStep{250};

}  // namespace

shared_store::shared_store(object_watcher& platform,
                           object_relay& relay,
                           connection_pool& pool,
                           peer_signer& signer,
                           const clock_source& clock,
                           milliseconds meeting_time,
                           plan_source plan,
                           peer_source peers)
    : platform_(platform),
      relay_(relay),
      pool_(pool),
      signer_(signer),
      clock_(clock),
      plan_(std::move(plan)),
      peers_(std::move(peers)),
      met_at_(clock.now() + meeting_time) {}

result<watch_batch> shared_store::Watch(const std::string& prefix,
                                        std::uint64_t cursor,
                                        milliseconds wait) {
  if (cursor != 0)
    return WatchFresh(prefix, cursor, wait);
  auto batch = List(prefix);
  if (!batch)
    return AskLastKnown(prefix);
  return batch;
}

// The first listing may lag: what it lacks comes with the watch that follows.
// After lost history the old cursor is of no use to peers either, and a listing
// that lags could be lost history again.
result<watch_batch> shared_store::List(const std::string& prefix) {
  if (clock_.now() >= met_at_)
    return WatchFresh(prefix, 0, kPeerWait);
  auto batch = platform_.ListLagging(prefix);
  if (batch)
    relay_.Publish(prefix, batch.value(), false);
  return batch;
}

result<watch_batch> shared_store::WatchFresh(const std::string& prefix,
                                             std::uint64_t cursor,
                                             milliseconds wait) {
  const auto plan = plan_();
  const auto peer_wait = std::min(wait, kPeerWait);
  auto answers = AskRegion(
      plan, {.prefix = prefix,
             .cursor = cursor,
             .wait_ms = static_cast<std::uint32_t>(peer_wait.count())});
  if (answers.batch) {
    WithTurn(prefix, [](auto& turn) { turn.OnNews(); });
    relay_.Publish(prefix, answers.batch.value(), false);
    return std::move(answers.batch);
  }
  if (clock_.now() < met_at_) {
    std::this_thread::sleep_for(kMeetingStep);
    return watch_batch{.cursor = cursor, .reset = false, .events = {}};
  }
  WithTurn(prefix, [&](auto& turn) {
    if (answers.stale && plan.role == source_role::kFollower)
      turn.OnPeersStale(clock_.now());
    else if (answers.silent)
      turn.OnPeersSilent();
  });
  return AskPlatform(prefix, cursor, std::min(wait, kPlatformWait), plan.role);
}

shared_store::peer_answers shared_store::AskRegion(const source_plan& plan,
                                                   mirror_ask ask) {
  auto answers = AskPeers(plan.watchers, ask);
  if (answers.batch || plan.role != source_role::kFollower)
    return answers;
  ask.await_fresh = true;
  ask.wait_ms = static_cast<std::uint32_t>(kDeputyWait.count());
  const auto stale_rounds = WithTurn(
      ask.prefix, [](const auto& turn) { return turn.stale_rounds(); });
  auto deputies = AskPeers(DeputiesToAsk(plan.deputies, stale_rounds), ask);
  if (deputies.batch && deputies.batch.value().events.empty())
    std::this_thread::sleep_for(kNoEventsPause);
  deputies.stale |= answers.stale;
  deputies.silent |= answers.silent;
  return deputies;
}

// An entry that starts while the platform is away would refuse every caller
// until its return, and planned restarts would empty a region one by one. Its
// peers go on by what they knew, so it may start from that as well.
result<watch_batch> shared_store::AskLastKnown(const std::string& prefix) {
  for (const auto& peer : peers_()) {
    auto batch =
        AskPeer(peer, {.prefix = prefix, .last_known = true}, kPeerMargin);
    if (!batch)
      continue;
    Log(log_level::kWarning, "started-from-peer",
        {{"prefix", prefix},
         {"peer", peer},
         {"revision", batch.value().cursor},
         {"objects", batch.value().events.size()}});
    relay_.Publish(prefix, batch.value(), false);
    return batch;
  }
  return MakeError(result_code::kStoreUnreachable, "nobody knows anything");
}

shared_store::peer_answers shared_store::AskPeers(
    std::span<const std::string> peers,
    const mirror_ask& ask) {
  peer_answers answers{
      .batch = MakeError(result_code::kStoreUnreachable, "no peer is fresh")};
  for (const auto& peer : peers) {
    if (pauses_.IsPaused(peer, clock_.now()))
      continue;
    auto batch = AskPeer(peer, ask, milliseconds(ask.wait_ms) + kPeerMargin);
    if (batch) {
      answers.batch = std::move(batch);
      return answers;
    }
    const bool declined = batch.error().code == result_code::kPeerDeclined;
    answers.stale |= declined;
    answers.silent |= !declined;
    pauses_.Pause(peer,
                  clock_.now() + (declined ? kDeclinedPause : kSilencePause));
  }
  return answers;
}

result<watch_batch> shared_store::AskPeer(const std::string& peer,
                                          const mirror_ask& ask,
                                          milliseconds timeout) {
  BOOST_OUTCOME_TRY(bytes, PostToPeer(pool_, signer_, peer, kMirrorPath,
                                      EncodeBinary(ask), timeout));
  auto batch = DecodeBinary<watch_batch>(bytes);
  if (!batch)
    return MakeError(result_code::kPeerMalformed, peer);
  return std::move(*batch);
}

result<watch_batch> shared_store::AskPlatform(const std::string& prefix,
                                              std::uint64_t cursor,
                                              milliseconds wait,
                                              source_role role) {
  const bool watches = role == source_role::kWatcher;
  const auto may_ask = WithTurn(
      prefix, [&](const auto& turn) { return turn.MayAsk(clock_.now()); });
  if (!watches && !may_ask)
    return MakeError(result_code::kStoreUnreachable, "no watcher is fresh");
  auto batch = platform_.Watch(prefix, cursor, wait);
  if (batch)
    relay_.Publish(prefix, batch.value());
  WithTurn(prefix, [&](auto& turn) {
    if (batch)
      turn.OnNews();
    else
      turn.OnPlatformFailed(clock_.now(), role == source_role::kDeputy
                                              ? kDeputyPause
                                              : kFollowerPause);
  });
  return batch;
}

}  // namespace samphire
