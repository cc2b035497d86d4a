#include "traffic/shared_store.h"

#include <algorithm>
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
// And not asked again for so long.
constexpr milliseconds kPeerPause{3000};
// When no watcher has a fresh copy, the platform is mostly down, and a whole
// fleet that asks it at once would be its next trouble.
constexpr milliseconds kPlatformPause{1000};
// Stands for the platform among the sources that are left alone for a while.
const std::string kPlatformName = "platform";

}  // namespace

shared_store::shared_store(object_watcher& platform,
                           object_relay& relay,
                           connection_pool& pool,
                           peer_signer& signer,
                           const clock_source& clock,
                           address_list watchers,
                           address_list peers)
    : platform_(platform),
      relay_(relay),
      pool_(pool),
      signer_(signer),
      clock_(clock),
      watchers_(std::move(watchers)),
      peers_(std::move(peers)) {}

result<watch_batch> shared_store::Watch(const std::string& prefix,
                                        std::uint64_t cursor,
                                        milliseconds wait) {
  auto batch = WatchFresh(prefix, cursor, wait);
  if (!batch && cursor == 0)
    return AskLastKnown(prefix);
  return batch;
}

result<watch_batch> shared_store::WatchFresh(const std::string& prefix,
                                             std::uint64_t cursor,
                                             milliseconds wait) {
  const auto watchers = watchers_();
  for (const auto& peer : watchers) {
    if (!MayAsk(peer))
      continue;
    const auto peer_wait = std::min(wait, kPeerWait);
    auto batch =
        AskPeer(peer,
                {.prefix = prefix,
                 .cursor = cursor,
                 .wait_ms = static_cast<std::uint32_t>(peer_wait.count())},
                peer_wait + kPeerMargin);
    if (batch) {
      relay_.Publish(prefix, batch.value(), false);
      return batch;
    }
    Pause(peer, kPeerPause);
  }
  return AskPlatform(prefix, cursor, std::min(wait, kPlatformWait),
                     watchers.empty());
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
                                              bool watches) {
  if (!watches && !MayAsk(kPlatformName))
    return MakeError(result_code::kStoreUnreachable, "no watcher is fresh");
  auto batch = platform_.Watch(prefix, cursor, wait);
  if (batch) {
    relay_.Publish(prefix, batch.value());
  } else if (!watches) {
    Pause(kPlatformName, kPlatformPause);
  }
  return batch;
}

bool shared_store::MayAsk(const std::string& source) {
  std::lock_guard guard(lock_);
  const auto found = not_before_.find(source);
  return found == not_before_.end() || clock_.now() >= found->second;
}

void shared_store::Pause(const std::string& source, milliseconds pause) {
  std::lock_guard guard(lock_);
  not_before_[source] = clock_.now() + pause;
}

}  // namespace samphire
