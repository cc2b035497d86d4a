#include "traffic/following/shared_store.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "base/log.h"
#include "gateway/peer_post.h"
#include "traffic/following/source_log.h"

namespace samphire {

namespace {

// Upper bound on the duration of one watch of the platform. Each return
// confirms to the watcher and its followers that the platform is reachable.
// Only the few watchers cause this load.
constexpr milliseconds kPlatformWatchTime{1000};
// Upper bound on the duration of one watch of a peer. A stalled peer is
// abandoned after this time and the margin, so that with two such peers a
// change is still received within three seconds.
constexpr milliseconds kPeerWatchTime{1000};
// Upper bound on what a peer returns: a listing of some thousand objects and
// their largest values, while the memory of a small instance holds it.
constexpr std::size_t kMaxBatchBytes = std::size_t{32} << 20U;
// Added to the requested wait to obtain the timeout of a call to a peer.
constexpr milliseconds kPeerResponseMargin{250};
// Upper bound on the time for which one round queries peers, however many there
// are and however late: a change must be in force within 2.5 s, and the
// platform is queried after them.
constexpr milliseconds kRoundTime{1500};
// The same for the substitutes of an entry whose own query of the platform has
// just failed, which takes up to 1.7 s.
constexpr milliseconds kSubstituteRoundTime{600};
// A call that has less time left is not begun.
constexpr milliseconds kMinCallTime{50};
// Time for which a peer that did not respond is not queried again.
constexpr milliseconds kUnresponsivePause{3000};
// Time for which a peer that has no fresh copy is not queried again.
constexpr milliseconds kStalePause{500};
// Time limit for a backup to obtain a fresh copy.
constexpr milliseconds kBackupWatchTime{400};
// Delay after a backup returns no events. A backup with a fresh copy responds
// immediately even if nothing has changed, so without a delay its followers
// would overload it while the watchers cannot reach the platform.
constexpr milliseconds kNoEventsPause{250};
// Back-off of backups and followers after a failed query of the platform. If no
// watcher has a fresh copy, the platform is probably down, and queries of the
// whole fleet at once would overload it when it recovers.
constexpr milliseconds kBackupPlatformBackoff{1000};
constexpr milliseconds kFollowerPlatformBackoff{2000};
// The same for a watcher that has a substitute with a fresh copy. Without one
// it does not back off: its region waits for it.
constexpr milliseconds kWatcherPlatformBackoff{1000};
// Interval at which an entry that has just started and is still discovering its
// region queries the watchers that it knows so far.
constexpr milliseconds kDiscoveryPollInterval{250};

// Names the platform as the source of a batch.
constexpr const char* kPlatformSource = "platform";

milliseconds PlatformBackoff(source_role role) {
  switch (role) {
    case source_role::kWatcher:
      return kWatcherPlatformBackoff;
    case source_role::kBackup:
      return kBackupPlatformBackoff;
    case source_role::kFollower:
      break;
  }
  return kFollowerPlatformBackoff;
}

// A peer may have no fresh copy of some objects, or be late with them, and
// serve others.
std::string PauseKey(const std::string& prefix, const std::string& peer) {
  return prefix + ' ' + peer;
}

}  // namespace

shared_store::shared_store(object_watcher& platform,
                           object_relay& relay,
                           connection_pool& pool,
                           peer_signer& signer,
                           const clock_source& clock,
                           milliseconds discovery_time,
                           plan_provider plan,
                           peer_provider peers,
                           urgent_objects* urgent)
    : platform_(platform),
      relay_(relay),
      pool_(pool),
      signer_(signer),
      clock_(clock),
      plan_(std::move(plan)),
      peers_(std::move(peers)),
      urgent_(urgent),
      discovery_ends_at_(clock.now() + discovery_time) {}

result<watch_batch> shared_store::Watch(const std::string& prefix,
                                        store_cursor cursor,
                                        milliseconds wait) {
  if (cursor.IsSet())
    return WatchFresh(prefix, cursor, wait);
  auto batch = List(prefix);
  if (!batch)
    return FetchLastKnown(prefix);
  return batch;
}

// The first listing may lag, unless its objects are urgent: the watch that
// follows returns what it lacks, but an entry serves callers before that. A
// later listing is needed because the platform no longer has the history after
// the cursor. Peers can't use that cursor either, and the cursor of a listing
// that lags could again be older than the platform's history.
result<watch_batch> shared_store::List(const std::string& prefix) {
  if (clock_.now() >= discovery_ends_at_)
    return WatchFresh(prefix, 0, kPeerWatchTime);
  const bool urgent = urgent_ && urgent_->Contains(prefix);
  auto batch = urgent ? platform_.Watch(prefix, 0, milliseconds{0})
                      : platform_.ListLagging(prefix);
  if (!batch)
    return batch;
  batch.value().source = kPlatformSource;
  batch.value().confirmed = urgent;
  relay_.Publish(prefix, batch.value(), urgent);
  if (urgent)
    urgent_->OnFirstListing(prefix);
  return batch;
}

result<watch_batch> shared_store::WatchFresh(const std::string& prefix,
                                             store_cursor cursor,
                                             milliseconds wait) {
  const auto plan = plan_();
  const auto peer_wait = std::min(wait, kPeerWatchTime);
  const mirror_request request{
      .prefix = prefix,
      .cursor = cursor,
      .wait_ms = static_cast<std::uint32_t>(peer_wait.count())};
  const auto deadline = clock_.now() + kRoundTime;
  auto responses = QueryRegion(plan, request, deadline);
  if (!responses.batch)
    QueryPausedWatchers(plan, request, deadline, responses);
  if (responses.batch) {
    WithFallback(prefix, [](auto& fallback) { fallback.OnUpdate(); });
    relay_.Publish(prefix, responses.batch.value(), false);
    return std::move(responses.batch);
  }
  if (clock_.now() < discovery_ends_at_)
    return WatchDuringDiscovery(plan, request);
  WithFallback(prefix, [&](auto& fallback) {
    if (responses.stale && plan.role == source_role::kFollower)
      fallback.OnPeersStale(clock_.now());
    else if (responses.unreachable)
      fallback.OnPeersUnreachable();
  });
  return WatchPlatformOrSubstitutes(plan, request,
                                    std::min(wait, kPlatformWatchTime));
}

// The watcher may have started a moment ago as well, and have no fresh copy for
// as long as this entry, while others have one.
result<watch_batch> shared_store::WatchDuringDiscovery(
    const source_plan& plan,
    const mirror_request& request) {
  auto batch = WatchSubstitutes(plan, request);
  if (batch)
    return batch;
  std::this_thread::sleep_for(kDiscoveryPollInterval);
  return watch_batch{.cursor = request.cursor,
                     .reset = false,
                     .events = {},
                     .source = {},
                     .confirmed = false};
}

result<watch_batch> shared_store::WatchSubstitutes(
    const source_plan& plan,
    const mirror_request& request) {
  auto responses = QueryPeers(plan.substitutes, request,
                              clock_.now() + kSubstituteRoundTime);
  if (responses.batch)
    relay_.Publish(request.prefix, responses.batch.value(), false);
  return std::move(responses.batch);
}

// The platform may turn an entry away for an unbounded time while it serves
// others. A watcher that had no other source would keep an outdated
// configuration, although its whole region has the current one.
result<watch_batch> shared_store::WatchPlatformOrSubstitutes(
    const source_plan& plan,
    const mirror_request& request,
    milliseconds wait) {
  const bool may_query = WithFallback(
      request.prefix,
      [&](const auto& fallback) { return fallback.MayQuery(clock_.now()); });
  auto batch = result<watch_batch>(MakeError(result_code::kStoreUnreachable));
  if (may_query || plan.substitutes.empty()) {
    batch = WatchPlatform(request.prefix, request.cursor, wait, plan.role);
    if (batch || plan.substitutes.empty())
      return batch;
  }
  auto from_substitute = WatchSubstitutes(plan, request);
  if (from_substitute)
    return from_substitute;
  if (may_query)
    return batch;
  return WatchPlatform(request.prefix, request.cursor, wait, plan.role);
}

shared_store::peer_responses shared_store::QueryRegion(const source_plan& plan,
                                                       mirror_request request,
                                                       time_point deadline) {
  auto responses = QueryPeers(plan.watchers, request, deadline);
  if (responses.batch || plan.role != source_role::kFollower)
    return responses;
  request.await_fresh = true;
  request.wait_ms = static_cast<std::uint32_t>(kBackupWatchTime.count());
  const auto stale_rounds = WithFallback(
      request.prefix,
      [](const auto& fallback) { return fallback.stale_rounds(); });
  auto backups =
      QueryPeers(BackupsToQuery(plan.backups, stale_rounds), request, deadline);
  if (backups.batch && backups.batch.value().events.empty())
    std::this_thread::sleep_for(kNoEventsPause);
  backups.stale |= responses.stale;
  backups.unreachable |= responses.unreachable;
  return backups;
}

// A watcher that was late may just have sent a large value to all its
// followers. While it is left alone a target that announces its leaving goes on
// to get requests, so it is asked again once nobody else has a fresh copy; it
// is not kept waiting, and not waited for.
void shared_store::QueryPausedWatchers(const source_plan& plan,
                                       mirror_request request,
                                       time_point deadline,
                                       peer_responses& responses) {
  request.wait_ms = 0;
  for (const auto& peer : plan.watchers) {
    if (TimeUntil(deadline) < kPeerResponseMargin)
      return;
    const auto pause_key = PauseKey(request.prefix, peer);
    if (!late_peers_.IsBackingOff(pause_key, clock_.now()))
      continue;
    auto batch = QueryPeer(peer, request, kPeerResponseMargin);
    if (!batch)
      continue;
    late_peers_.EndBackoff(pause_key);
    batch.value().source = peer;
    responses.batch = std::move(batch);
    return;
  }
}

// An entry that starts during an outage of the platform would otherwise refuse
// all callers until the platform recovers, and planned restarts would take the
// entries of a region out of service one by one. Its peers keep serving from
// the objects that they last knew, so this entry may start from those as well.
result<watch_batch> shared_store::FetchLastKnown(const std::string& prefix) {
  for (const auto& peer : peers_()) {
    auto batch = QueryPeer(peer, {.prefix = prefix, .last_known = true},
                           kPeerResponseMargin);
    if (!batch)
      continue;
    Log(log_level::kWarning, "started-from-peer",
        {{"prefix", prefix},
         {"peer", peer},
         {"revision", batch.value().cursor.revision},
         {"objects", batch.value().events.size()}});
    batch.value().source = peer;
    batch.value().confirmed = false;
    relay_.Publish(prefix, batch.value(), false);
    return batch;
  }
  return MakeError(
      result_code::kStoreUnreachable,
      "platform unreachable, and no peer has a copy of its objects");
}

// A silent peer takes its whole time, and each of several would take its own,
// so that an entry that reaches none but the platform would hear nothing for
// longer than a change may take.
shared_store::peer_responses shared_store::QueryPeers(
    std::span<const std::string> peers,
    mirror_request request,
    time_point deadline) {
  const milliseconds wait(request.wait_ms);
  peer_responses responses{.batch = MakeError(result_code::kStoreUnreachable,
                                              "no peer has a fresh copy")};
  for (const auto& peer : peers) {
    const auto pause_key = PauseKey(request.prefix, peer);
    if (stale_peers_.IsBackingOff(pause_key, clock_.now()) ||
        late_peers_.IsBackingOff(pause_key, clock_.now()))
      continue;
    const auto timeout =
        std::min(wait + kPeerResponseMargin, TimeUntil(deadline));
    if (timeout < kMinCallTime)
      break;
    request.wait_ms = static_cast<std::uint32_t>(
        std::max(timeout - kPeerResponseMargin, milliseconds{0}).count());
    const auto start = clock_.now();
    auto batch = QueryPeer(peer, request, timeout);
    LogSourceResult(request.prefix, peer, ElapsedSince(start), batch);
    if (batch) {
      responses.batch = std::move(batch);
      responses.batch.value().source = peer;
      return responses;
    }
    const bool has_no_fresh_copy =
        batch.error().code == result_code::kPeerDeclined;
    responses.stale |= has_no_fresh_copy;
    responses.unreachable |= !has_no_fresh_copy;
    if (has_no_fresh_copy)
      stale_peers_.StartBackoff(pause_key, clock_.now() + kStalePause);
    else
      late_peers_.StartBackoff(pause_key, clock_.now() + kUnresponsivePause);
  }
  return responses;
}

milliseconds shared_store::TimeUntil(time_point deadline) const {
  return std::chrono::duration_cast<milliseconds>(deadline - clock_.now());
}

milliseconds shared_store::ElapsedSince(time_point start) const {
  return std::chrono::duration_cast<milliseconds>(clock_.now() - start);
}

// A patch may need a version that this entry does not have, since it followed
// other sources before. A listing needs none.
result<watch_batch> shared_store::QueryPeer(const std::string& peer,
                                            mirror_request request,
                                            milliseconds timeout) {
  auto batch = FetchFromPeer(peer, request, timeout);
  if (batch || batch.error().code != result_code::kPeerMalformed ||
      !request.cursor.IsSet())
    return batch;
  request.cursor = {};
  return FetchFromPeer(peer, request, timeout);
}

result<watch_batch> shared_store::FetchFromPeer(const std::string& peer,
                                                const mirror_request& request,
                                                milliseconds timeout) {
  BOOST_OUTCOME_TRY(response,
                    PostToPeer(pool_, signer_, peer,
                               {.path = kMirrorPath,
                                .body = EncodeBinary(request),
                                .timeout = timeout,
                                .accept = kPatchedBatchType,
                                .max_response_bytes = kMaxBatchBytes}));
  // A peer of an earlier version.
  if (response.content_type != kPatchedBatchType) {
    auto batch = DecodeBinary<watch_batch>(response.body);
    return batch ? result<watch_batch>(std::move(*batch))
                 : MakeError(result_code::kPeerMalformed, peer);
  }
  const auto patched = DecodePatchedBatch(response.body);
  if (!patched)
    return MakeError(result_code::kPeerMalformed, peer);
  return relay_.ResolvePatches(request.prefix, *patched);
}

result<watch_batch> shared_store::WatchPlatform(const std::string& prefix,
                                                store_cursor cursor,
                                                milliseconds wait,
                                                source_role role) {
  const bool is_watcher = role == source_role::kWatcher;
  const auto may_query = WithFallback(prefix, [&](const auto& fallback) {
    return fallback.MayQuery(clock_.now());
  });
  if (!is_watcher && !may_query)
    return MakeError(
        result_code::kStoreUnreachable,
        "no peer has a fresh copy; platform not queried during back-off");
  const auto start = clock_.now();
  auto batch = platform_.Watch(prefix, cursor, wait);
  LogSourceResult(prefix, kPlatformSource, ElapsedSince(start), batch);
  if (batch) {
    batch.value().source = kPlatformSource;
    relay_.Publish(prefix, batch.value());
    if (urgent_ && (batch.value().reset || !batch.value().events.empty()))
      urgent_->OnPlatformChange(prefix);
  } else {
    relay_.OnWatchFailed(prefix);
  }
  WithFallback(prefix, [&](auto& fallback) {
    if (batch)
      fallback.OnUpdate();
    else
      fallback.OnPlatformFailed(clock_.now(), PlatformBackoff(role));
  });
  return batch;
}

}  // namespace samphire
