#include "distribution/config_follower.h"

#include <catch2/catch.hpp>
#include <map>

#include "distribution/distribution_rig.h"
#include "distribution/instance_follower.h"
#include "distribution/watcher_choice.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Peers that respond from the cached images of other followers.
class fake_peers final : public config_peer_source {
 public:
  std::map<std::string, config_follower*> entries;
  std::optional<instance_list> list;
  int calls = 0;

  std::vector<std::string> Peers() override {
    std::vector<std::string> names;
    for (const auto& [name, entry] : entries)
      names.push_back(name);
    return names;
  }
  result<peer_config> QueryConfig(const std::string& peer) override {
    return Find(peer)->AdvertisedConfig();
  }
  result<config_update> Pull(const std::string& peer,
                             std::uint64_t have) override {
    return Find(peer)->cached_images().Pull(have);
  }
  result<std::vector<std::string>> Chunks(
      const std::string& peer,
      const std::vector<std::string>& refs) override {
    return Find(peer)->cached_images().Chunks(refs);
  }
  result<std::optional<instance_list>> Instances(
      const std::string& /*peer*/,
      const std::string& known) override {
    ++calls;
    if (!list)
      return MakeError(result_code::kPeerTimeout);
    return list->digest == known ? std::nullopt : list;
  }

 private:
  config_follower* Find(const std::string& peer) {
    ++calls;
    return entries.at(peer);
  }
};

struct follower_rig : distribution_rig {
  follower_rig() { Apply(1); }

  void Apply(int n) {
    auto declared = WithBlocks(Example("nivel-claro"), 1000);
    declared.limits.max_attempts = static_cast<std::uint32_t>(n);
    REQUIRE(second.Apply(declared, {fmt::format("id-{}", n), "ana", {}}));
  }
  std::unique_ptr<config_follower> NewEntry() {
    return std::make_unique<config_follower>(
        store, peers, clock, registry, follower_limits(),
        [this](const image_ptr& image) {
          notified.push_back(image->version());
        });
  }
  // Steps the entry for `by`, one second of the manual clock at a time.
  void Run(config_follower& entry, std::chrono::seconds by) {
    for (int s = 0; s < by.count(); ++s) {
      for (int n = 0; n < 4; ++n)
        entry.Step();
      clock.Advance(1s);
    }
  }

  fake_peers peers;
  std::vector<std::uint64_t> notified;
};

}  // namespace

TEST_CASE("a start during an outage loads the highest version of the peers") {
  // The platform is down while an instance is replaced, and one peer was
  // disconnected for a while and is a version behind. The new entry must not
  // adopt the older version.
  follower_rig rig;
  auto behind = rig.NewEntry();
  rig.Run(*behind, 1s);
  rig.Apply(2);
  auto ahead = rig.NewEntry();
  rig.Run(*ahead, 1s);
  rig.store.SetDown(true);
  rig.peers.entries = {{"a", behind.get()}, {"b", ahead.get()}};
  auto entry = rig.NewEntry();
  rig.Run(*entry, 1s);
  CHECK(entry->image() == nullptr);
  rig.Run(*entry, 10s);
  REQUIRE(entry->image());
  CHECK(entry->image()->version() == 2);
  // A version loaded from a peer is no fresher than the peer's own
  // confirmation.
  CHECK(entry->confirmed_age() >= ahead->confirmed_age());
}

TEST_CASE("a start during an outage without peers loads no configuration") {
  follower_rig rig;
  rig.store.SetDown(true);
  auto entry = rig.NewEntry();
  rig.Run(*entry, 20s);
  CHECK(entry->image() == nullptr);
  rig.store.SetDown(false);
  rig.Run(*entry, 6s);
  REQUIRE(entry->image());
  CHECK(entry->confirmed_age() <= 6s);
}

TEST_CASE("a damaged chunk leaves the old configuration in force") {
  // A chunk of a new version is damaged in the platform. The entry keeps the
  // version that it has, its confirmation age grows, and it recovers when the
  // chunk does.
  follower_rig rig;
  auto entry = rig.NewEntry();
  rig.Run(*entry, 1s);
  rig.Apply(2);
  const auto root = ReadRoot(rig.store.Get(kConfigRootKey).value().value);
  const auto key = ChunkKey(root.value().frame.ref);
  const auto chunk = rig.store.Get(key).value();
  REQUIRE(rig.store.Put(key, "damaged\n", chunk.version));
  rig.Run(*entry, 60s);
  CHECK(entry->image()->version() == 1);
  CHECK(entry->confirmed_age() > 40s);
  CHECK(rig.registry.counter("config_load_failures_total",
                             "source=\"platform\",reason=\"store-corrupt\"") >
        2);
  const auto damaged = rig.store.Get(key).value();
  REQUIRE(rig.store.Put(key, chunk.value, damaged.version));
  rig.Run(*entry, 6s);
  CHECK(entry->image()->version() == 2);
  CHECK(rig.notified == std::vector<std::uint64_t>{1, 2});
}

TEST_CASE("an entry that does not watch gets changes by gossip alone") {
  follower_rig rig;
  auto watcher = rig.NewEntry();
  auto entry = rig.NewEntry();
  rig.Run(*watcher, 1s);
  rig.Run(*entry, 1s);
  rig.peers.entries = {{"w", watcher.get()}};
  rig.Apply(2);
  watcher->SetWatching(true);
  watcher->WatchStep();
  rig.Run(*watcher, 1s);
  const int reads = rig.store.reads();
  entry->OnPeerVersion("w", watcher->AdvertisedConfig());
  rig.Run(*entry, 1s);
  CHECK(entry->image()->version() == 2);
  CHECK(rig.store.reads() == reads);
  entry->OnPeerVersion("w", watcher->AdvertisedConfig());
  CHECK(entry->confirmed_age() <= watcher->confirmed_age() + 1ms);
}

TEST_CASE("a version that a peer can't supply is loaded from the platform") {
  // A peer announces a version that it can't supply. The entry must detect this
  // and load the version from the platform instead.
  follower_rig rig;
  auto watcher = rig.NewEntry();
  rig.Run(*watcher, 1s);
  auto entry = rig.NewEntry();
  rig.Run(*entry, 1s);
  rig.Apply(2);
  entry->OnPeerVersion("gone", {2, "x", 0ms});
  rig.peers.entries = {{"gone", watcher.get()}};
  rig.Run(*entry, 6s);
  CHECK(entry->image()->version() == 2);
}

TEST_CASE("a peer that fails is queried only once in a first load") {
  // The nearest peer fails while an entry starts. If it were queried again for
  // every chunk, its timeouts would delay the start by minutes.
  follower_rig rig;
  auto empty = rig.NewEntry();
  rig.peers.entries = {{"empty", empty.get()}};
  auto entry = rig.NewEntry();
  rig.Run(*entry, 1s);
  REQUIRE(entry->image());
  CHECK(rig.peers.calls == 1);
}

TEST_CASE("the watch detects changes again after an interruption") {
  // The platform goes down, and a change was applied through another entry by
  // the time it recovers. A watch that resumed at its old position would miss
  // the change.
  follower_rig rig;
  auto entry = rig.NewEntry();
  entry->SetWatching(true);
  entry->WatchStep();
  rig.Run(*entry, 1s);
  rig.store.SetDown(true);
  CHECK(entry->WatchStep() > 0ms);
  CHECK(entry->platform_failing());
  rig.store.SetDown(false);
  rig.Apply(2);
  entry->WatchStep();
  rig.Run(*entry, 5s);
  CHECK(entry->image()->version() == 2);
}

TEST_CASE("the threads follow changes and stop") {
  follower_rig rig;
  std::mutex lock;
  std::condition_variable notified;
  std::uint64_t version = 0;
  config_follower entry(rig.store, rig.peers, rig.clock, rig.registry, {},
                        [&](const image_ptr& image) {
                          std::lock_guard guard(lock);
                          version = image->version();
                          notified.notify_all();
                        });
  entry.SetWatching(true);
  entry.Start();
  const auto wait_for = [&](std::uint64_t wanted) {
    std::unique_lock guard(lock);
    notified.wait(guard, [&] { return version == wanted; });
  };
  wait_for(1);
  rig.Apply(2);
  wait_for(2);
  entry.Stop();
}

TEST_CASE(
    "few members of a region watch, and a leaving one changes one watcher") {
  std::vector<std::string> members;
  members.reserve(100);
  for (int n = 0; n < 100; ++n)
    members.push_back(fmt::format("entry-{}", n));
  const auto watchers = [&] {
    std::vector<std::string> found;
    for (const auto& member : members) {
      if (IsWatcher(member, members))
        found.push_back(member);
    }
    return found;
  };
  const auto before = watchers();
  REQUIRE(before.size() == kWatchersPerRegion);
  std::erase(members, before[0]);
  const auto after = watchers();
  CHECK(after.size() == kWatchersPerRegion);
  CHECK(std::count(after.begin(), after.end(), before[1]) == 1);
  CHECK(std::count(after.begin(), after.end(), before[2]) == 1);
}

TEST_CASE("the instance list comes from peers, and only if it changed") {
  // If every entry polled the platform, its calls would grow with the fleet. A
  // peer that has no list yet must not make all instances look gone.
  follower_rig rig;
  int notified = 0;
  instance_follower entry(rig.store, rig.peers, rig.registry, {},
                          [&](const auto& list) { notified += !list.empty(); });
  rig.store.SetInstances({{"e1", "entry", "", "r", "d"}});
  entry.Step();
  CHECK(notified == 1);
  rig.peers.entries = {{"p", nullptr}};
  rig.peers.list = MakeInstanceList({});
  entry.Step();
  CHECK(notified == 1);
  const int reads = rig.store.reads();
  rig.peers.list = MakeInstanceList({{"e2", "entry", "", "r", "d"}});
  entry.Step();
  entry.Step();
  CHECK(notified == 2);
  CHECK(rig.store.reads() == reads);
  rig.peers.list = std::nullopt;
  entry.Step();
  CHECK(rig.store.reads() == reads + 1);
  CHECK(notified == 3);
  // An entry sets its role at every tick; only a change may cost a read.
  const int reads_before = rig.store.reads();
  entry.Start();
  for (int n = 0; n < 1000; ++n)
    entry.SetWatching(true);
  entry.Stop();
  CHECK(rig.store.reads() <= reads_before + 20);
  CHECK_FALSE(entry.ListIfChanged(
      MakeInstanceList({{"e1", "entry", "", "r", "d"}}).digest));
}

// Guards against a change that was accepted and is in force at no entry that
// knows a lost one: both have the same version.
TEST_CASE("a change accepted after a restore of the store is in force") {
  follower_rig rig;
  auto entry = rig.NewEntry();
  rig.Run(*entry, 1s);
  rig.store.MakeCopy();
  rig.Apply(2);
  rig.Run(*entry, 60s);
  REQUIRE(entry->image()->version() == 2);
  rig.store.Restore();
  rig.Run(*entry, 60s);
  // An accepted change is not taken back.
  CHECK(entry->image()->version() == 2);
  rig.Apply(3);
  rig.Run(*entry, 60s);
  CHECK(entry->image()->digest() == rig.LoadFresh().value()->digest());
}
