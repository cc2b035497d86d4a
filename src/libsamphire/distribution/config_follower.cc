#include "distribution/config_follower.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace samphire {

namespace {

// Bounds how many peers are queried for their version during an outage of the
// platform. Querying more would delay the start and add nothing, because each
// of them has learned the highest version by gossip.
constexpr std::size_t kMaxQueriedPeers = 16;

}  // namespace

struct config_follower::action_runner {
  config_follower& self;

  duration operator()(const read_root& /*action*/) const {
    self.ReadPlatformRoot();
    return duration::zero();
  }
  duration operator()(const pull_from_peer& action) const {
    self.Pull(action.peer);
    return duration::zero();
  }
  duration operator()(const query_peers& /*action*/) const {
    self.QueryPeers();
    return duration::zero();
  }
  duration operator()(const wait_until& action) const {
    return action.at - self.clock_.now();
  }
};

template <typename F>
auto config_follower::WithState(F&& use) {
  std::lock_guard guard(lock_);
  return std::forward<F>(use)(state_);
}

follower_state config_follower::Snapshot() const {
  std::lock_guard guard(lock_);
  return state_;
}

config_follower::config_follower(object_store& store,
                                 config_peer_source& peers,
                                 const clock_source& clock,
                                 metrics& metrics,
                                 const follower_limits& limits,
                                 image_callback callback)
    : store_(store),
      peers_(peers),
      clock_(clock),
      metrics_(metrics),
      limits_(limits),
      callback_(std::move(callback)),
      state_(limits, clock.now()) {}

config_follower::~config_follower() {
  Stop();
}

void config_follower::Start() {
  load_thread_.Start([this] { return Step(); });
  watch_thread_.Start([this] { return WatchStep(); });
}

void config_follower::Stop() {
  load_thread_.Stop();
  watch_thread_.Stop();
}

void config_follower::SetWatching(bool watching) {
  const bool changed = WithState([&](auto& state) {
    const bool before = state.watching();
    state.SetWatching(watching);
    return before != watching;
  });
  if (changed)
    watch_thread_.Wake();
}

void config_follower::OnPeerVersion(const std::string& peer,
                                    const peer_config& config) {
  const auto verdict = WithState([&](auto& state) {
    return state.OnPeerConfig(peer, config, clock_.now());
  });
  if (verdict == root_verdict::kDiffers)
    CountVerdict(verdict, "peer");
  if (verdict == root_verdict::kNewer)
    load_thread_.Wake();
}

peer_config config_follower::AdvertisedConfig() const {
  const auto state = Snapshot();
  const auto age =
      std::chrono::ceil<milliseconds>(clock_.now() - state.confirmed_at());
  return {state.version(), state.digest(), age};
}

duration config_follower::confirmed_age() const {
  return clock_.now() - Snapshot().confirmed_at();
}

bool config_follower::platform_failing() const {
  return Snapshot().platform_failing();
}

duration config_follower::Step() {
  return std::visit(action_runner{*this}, Snapshot().Next(clock_.now()));
}

void config_follower::ReadPlatformRoot() {
  const auto root = store_.Get(kConfigRootKey);
  const auto now = clock_.now();
  if (!root && root.error().code == result_code::kStoreNotFound) {
    WithState([&](auto& state) { state.OnNoRoot(now); });
    return;
  }
  if (!root) {
    WithState([&](auto& state) { state.OnPlatformError(now); });
    metrics_.CountRetry(root.error().code);
    return;
  }
  const auto& text = root.value().value;
  const auto read = ReadRoot(text);
  if (!read) {
    HandleLoadResult(read.error(), now, "platform");
    return;
  }
  const auto verdict = WithState([&](auto& state) {
    return state.OnRoot(read.value().change.version, ContentDigest(text), now);
  });
  CountVerdict(verdict, "platform");
  if (verdict != root_verdict::kNewer)
    return;
  // A complete first load is served by a peer where possible, which spares the
  // platform the reads.
  const auto base = image_cache_.current();
  const auto peers = base ? std::vector<std::string>() : peers_.Peers();
  HandleLoadResult(
      LoadImage(text, base, {}, MakeChunkFetch(peers.empty() ? "" : peers[0])),
      now, "platform");
}

void config_follower::Pull(const std::string& peer) {
  const auto base = image_cache_.current();
  const auto update = peers_.Pull(peer, base ? base->version() : 0);
  if (!update) {
    HandleLoadResult(update.error(), {}, "peer");
    return;
  }
  // A load from a peer confirms nothing by itself: the peer's own confirmation
  // age arrives by gossip, and until then the confirmation time of the previous
  // image stands.
  HandleLoadResult(
      LoadImage(update.value().root_text, base,
                ApplyUpdate(base, update.value()), MakeChunkFetch(peer)),
      {}, "peer");
}

void config_follower::QueryPeers() {
  auto peers = peers_.Peers();
  peers.resize(std::min(peers.size(), kMaxQueriedPeers));
  std::string best;
  peer_config highest;
  for (const auto& peer : peers) {
    const auto response = peers_.QueryConfig(peer);
    if (response && response.value().version > highest.version) {
      best = peer;
      highest = response.value();
    }
  }
  if (highest.version == 0) {
    HandleLoadResult(
        MakeError(
            result_code::kNoConfiguration,
            "the platform failed and no reachable peer has a configuration"),
        {}, "peer");
    return;
  }
  Log(log_level::kWarning, "config-from-peers",
      {{"version", highest.version}, {"peer", best}});
  Pull(best);
  WithState(
      [&](auto& state) { state.OnPeerConfig(best, highest, clock_.now()); });
}

void config_follower::HandleLoadResult(const result<image_ptr>& loaded,
                                       time_point confirmed_at,
                                       std::string_view source) {
  if (!loaded) {
    // The image in force stays in force; only its confirmation age grows.
    WithState([&](auto& state) { state.OnLoadFailed(clock_.now()); });
    metrics_.Count("config_load_failures_total",
                   fmt::format("source=\"{}\",reason=\"{}\"", source,
                               NameOf(loaded.error().code)));
    Log(log_level::kWarning, "config-load-failed",
        {{"source", source},
         {"result", NameOf(loaded.error().code)},
         {"detail", loaded.error().detail}});
    return;
  }
  const auto& image = loaded.value();
  const auto current = image_cache_.current();
  if (current && current->version() >= image->version()) {
    // The peer announced a newer version than it can supply. Recording a failed
    // load delays the retry; an immediate one would get the same response, in
    // an endless loop.
    WithState([&](auto& state) { state.OnLoadFailed(clock_.now()); });
    return;
  }
  image_cache_.Add(image);
  WithState([&](auto& state) {
    state.OnImage(image->version(), image->digest(), confirmed_at);
  });
  metrics_.Count("config_loads_total", fmt::format("source=\"{}\"", source));
  metrics_.Set("config_version", {}, static_cast<double>(image->version()));
  callback_(image);
}

void config_follower::CountVerdict(root_verdict verdict,
                                   std::string_view source) {
  if (verdict != root_verdict::kOlder && verdict != root_verdict::kDiffers)
    return;
  const auto name = NameOf(kRootVerdictNames, verdict);
  metrics_.Count("config_roots_refused_total",
                 fmt::format("source=\"{}\",verdict=\"{}\"", source, name));
  Log(log_level::kError, "config-root-refused",
      {{"source", source}, {"verdict", name}});
}

chunk_fetch config_follower::MakeChunkFetch(const std::string& peer) {
  // A first load takes some hundred requests. After its first failure a peer
  // isn't tried again during this load, or its timeouts would add up to
  // minutes.
  return [this, from = std::string(peer)](
             const std::vector<std::string>& refs) mutable
         -> result<std::vector<std::string>> {
    auto texts = FetchFromPeer(from, refs);
    if (texts)
      return texts;
    from.clear();
    return FetchFromStore(refs);
  };
}

result<std::vector<std::string>> config_follower::FetchFromPeer(
    const std::string& peer,
    const std::vector<std::string>& refs) {
  if (peer.empty())
    return MakeError(result_code::kPeerUnreachable);
  BOOST_OUTCOME_TRY(texts, peers_.Chunks(peer, refs));
  bool valid = texts.size() == refs.size();
  for (std::size_t i = 0; valid && i < refs.size(); ++i)
    valid = ContentDigest(texts[i]) == DigestOf(refs[i]);
  if (!valid) {
    metrics_.Count("config_load_failures_total",
                   "source=\"peer\",reason=\"store-corrupt\"");
    return MakeError(result_code::kStoreCorrupt, peer);
  }
  metrics_.Count("config_chunks_fetched_total", "source=\"peer\"",
                 static_cast<std::int64_t>(refs.size()));
  return texts;
}

result<std::vector<std::string>> config_follower::FetchFromStore(
    const std::vector<std::string>& refs) {
  std::vector<std::string> texts;
  for (const auto& ref : refs) {
    BOOST_OUTCOME_TRY(object, store_.Get(ChunkKey(ref)));
    texts.push_back(std::move(object.value));
  }
  metrics_.Count("config_chunks_fetched_total", "source=\"platform\"",
                 static_cast<std::int64_t>(refs.size()));
  return texts;
}

// Any result other than an unchanged watch causes the root to be read again. A
// new watch obtains its cursor before that read, so whatever is written
// afterwards is reported by the watch.
duration config_follower::WatchStep() {
  if (!Snapshot().watching()) {
    cursor_ = {};
    return limits_.max_retry_delay;
  }
  const auto batch =
      store_.Watch(kConfigRootKey, cursor_, limits_.watch_timeout);
  if (!batch) {
    cursor_ = {};
    WithState([&](auto& state) { state.OnPlatformError(clock_.now()); });
    metrics_.Count("config_watch_failures_total",
                   fmt::format("reason=\"{}\"", NameOf(batch.error().code)));
    return limits_.initial_retry_delay * 2;
  }
  OnWatchBatch(batch.value());
  return duration::zero();
}

void config_follower::OnWatchBatch(const watch_batch& batch) {
  const bool unchanged =
      cursor_.IsSet() && !batch.reset && batch.events.empty();
  if (batch.reset)
    metrics_.Count("config_watch_resets_total");
  cursor_ = batch.cursor;
  const auto now = clock_.now();
  WithState([&](auto& state) {
    unchanged ? state.OnWatchUnchanged(now) : state.OnRootChanged();
  });
  if (!unchanged)
    load_thread_.Wake();
}

}  // namespace samphire
