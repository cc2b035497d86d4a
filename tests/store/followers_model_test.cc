#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "store/object_mirror.h"
#include "store/object_relay.h"
#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// The platform's store: what was written when, and how much of it a watch can
// still tell.
class modelled_store {
 public:
  void Write(const std::string& key) {
    ++revision_;
    objects_[key] = revision_;
    log_.push_back({revision_, {key, revision_, std::to_string(revision_)}});
  }
  void Delete(const std::string& key) {
    if (objects_.erase(key) == 0)
      return;
    deletions_[key].push_back(++revision_);
    log_.push_back({revision_, {key, 0, {}}});
  }
  void Compact() {
    if (!log_.empty())
      floor_ = log_.back().first;
    log_.clear();
  }
  watch_batch Watch(std::uint64_t cursor) const {
    if (cursor == 0) {
      watch_batch all{.cursor = revision_, .reset = true, .events = {}};
      for (const auto& [key, version] : objects_)
        all.events.push_back({key, version, std::to_string(version)});
      return all;
    }
    if (cursor < floor_)
      return {.cursor = 0, .reset = true, .events = {}};
    watch_batch more{.cursor = revision_, .reset = false, .events = {}};
    for (const auto& [revision, event] : log_) {
      if (revision > cursor)
        more.events.push_back(event);
    }
    return more;
  }
  // When the object was first gone after `revision`.
  std::optional<std::uint64_t> GoneAfter(const std::string& key,
                                         std::uint64_t revision) const {
    const auto found = deletions_.find(key);
    if (found == deletions_.end())
      return std::nullopt;
    for (const auto gone : found->second) {
      if (gone > revision)
        return gone;
    }
    return std::nullopt;
  }
  const std::map<std::string, std::uint64_t>& objects() const {
    return objects_;
  }

 private:
  std::uint64_t revision_ = 1;
  std::uint64_t floor_ = 0;
  std::map<std::string, std::uint64_t> objects_;
  std::map<std::string, std::vector<std::uint64_t>> deletions_;
  std::deque<std::pair<std::uint64_t, store_event>> log_;
};

// One entry: what it knows, what it hands on, and what it may not go back to.
struct modelled_entry {
  explicit modelled_entry(const clock_source& clock) : relay(clock) {}

  object_relay relay;
  object_mirror mirror;
  // Of each object: the revision up to which its story is known here, and
  // whether it was there.
  struct sight {
    std::uint64_t revision = 0;
    bool present = false;
  };
  std::map<std::string, sight> seen;
};

const std::string kPrefix = "k/";
constexpr std::size_t kEntries = 6;
constexpr std::size_t kWatchers = 2;
constexpr int kKeys = 12;

class modelled_region {
 public:
  explicit modelled_region(std::uint64_t seed) : random_(seed) {
    for (std::size_t i = 0; i < kEntries; ++i)
      Restart(i);
  }

  void RunFaults(int steps) {
    for (int i = 0; i < steps; ++i) {
      Strike();
      Step(random_() % kEntries);
    }
  }
  void Heal() {
    cut_from_store_.clear();
    cut_from_peers_.clear();
    for (int round = 0; round < 40; ++round) {
      clock_.Advance(100ms);
      for (std::size_t i = 0; i < kEntries; ++i)
        Step(i);
    }
  }
  bool AllKnowTheTruth() const {
    std::map<std::string, std::string> truth;
    for (const auto& [key, revision] : store_.objects())
      truth[key] = std::to_string(revision);
    return std::all_of(entries_.begin(), entries_.end(), [&](const auto& each) {
      return each->mirror.objects() == truth;
    });
  }

 private:
  std::string Key() { return kPrefix + std::to_string(random_() % kKeys); }
  bool Chance(unsigned percent) { return random_() % 100 < percent; }

  void Restart(std::size_t i) {
    entries_.resize(kEntries);
    entries_[i] = std::make_unique<modelled_entry>(clock_);
  }
  void Strike() {
    clock_.Advance(milliseconds(random_() % 300));
    if (Chance(50))
      store_.Write(Key());
    if (Chance(15))
      store_.Delete(Key());
    if (Chance(5))
      store_.Compact();
    if (Chance(3))
      Restart(random_() % kEntries);
    if (Chance(10))
      cut_from_store_[random_() % kEntries] = Chance(50);
    if (Chance(10))
      cut_from_peers_[random_() % kEntries] = Chance(50);
    if (Chance(4)) {
      const bool down = Chance(50);
      for (std::size_t i = 0; i < kEntries; ++i)
        cut_from_store_[i] = down;
    }
  }

  // As an entry asks: the region's watchers, the platform, and with nothing
  // known yet whoever still has something.
  void Step(std::size_t i) {
    auto& self = *entries_[i];
    const auto cursor = self.mirror.cursor();
    auto batch = AskWatchers(i, cursor);
    bool confirmed = false;
    if (!batch && !cut_from_store_[i]) {
      batch = store_.Watch(cursor);
      confirmed = true;
    }
    if (!batch && cursor == 0)
      batch = AskLastKnown(i);
    if (!batch)
      return;
    self.relay.Publish(kPrefix, *batch, confirmed);
    self.mirror.Apply(*batch, clock_.now());
    self.mirror.Expire(clock_.now());
    Check(self);
  }
  std::optional<watch_batch> AskWatchers(std::size_t i, std::uint64_t cursor) {
    if (i < kWatchers || cut_from_peers_[i])
      return std::nullopt;
    for (std::size_t watcher = 0; watcher < kWatchers; ++watcher) {
      if (cut_from_peers_[watcher])
        continue;
      auto batch = entries_[watcher]->relay.Watch(kPrefix, cursor, 0ms);
      if (batch)
        return std::move(batch.value());
    }
    return std::nullopt;
  }
  std::optional<watch_batch> AskLastKnown(std::size_t i) {
    const auto peer = random_() % kEntries;
    if (peer == i || cut_from_peers_[i] || cut_from_peers_[peer])
      return std::nullopt;
    auto batch = entries_[peer]->relay.LastKnown(kPrefix);
    if (!batch)
      return std::nullopt;
    return std::move(batch.value());
  }

  // What an entry has seen of an object is never followed by something older.
  void Check(modelled_entry& self) {
    for (const auto& [key, value] : self.mirror.objects()) {
      const auto revision = std::stoull(value);
      auto& seen = self.seen[key];
      INFO(key << " at " << revision << " after " << seen.revision);
      REQUIRE(revision >= seen.revision);
      seen = {revision, true};
    }
    for (auto& [key, seen] : self.seen) {
      if (!seen.present || self.mirror.objects().contains(key))
        continue;
      const auto gone = store_.GoneAfter(key, seen.revision);
      INFO(key << " vanished after " << seen.revision);
      REQUIRE(gone);
      seen = {*gone, false};
    }
  }

  std::mt19937_64 random_;
  manual_clock clock_;
  modelled_store store_;
  std::vector<std::unique_ptr<modelled_entry>> entries_;
  std::map<std::size_t, bool> cut_from_store_;
  std::map<std::size_t, bool> cut_from_peers_;
};

}  // namespace

// Entries of a region learn of changes from the store, from each other and, in
// an outage, from whoever knew something last; links break, the store forgets
// its history, entries restart. An entry that went back to an older state would
// run requests by a configuration that was replaced, or send work to a target
// that said it leaves; one that stayed behind would do so for good.
TEST_CASE("what an entry has seen never goes back, and all learn all in time") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    modelled_region region(seed);
    region.RunFaults(400);
    region.Heal();
    REQUIRE(region.AllKnowTheTruth());
  }
}
