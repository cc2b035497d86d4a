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

// Model of the platform's store: the objects, and the log of writes from which
// watches are served until it is compacted.
class modelled_store {
 public:
  void Write(const std::string& key) {
    ++revision_;
    objects_[key] = revision_;
    values_[key] = ValueOf(revision_);
    log_.push_back({revision_, {key, revision_, values_[key]}});
  }
  void Delete(const std::string& key) {
    if (objects_.erase(key) == 0)
      return;
    deletions_[key].push_back(++revision_);
    log_.push_back({revision_, {key, 0, {}}});
  }
  // Keeps a copy of the objects, or goes back to the last one: what was written
  // since is lost, and its revisions are given out again.
  void MakeCopy() { copy_ = {revision_, objects_, values_}; }
  void Restore() {
    if (copy_.revision == 0)
      return;
    revision_ = copy_.revision;
    objects_ = copy_.objects;
    values_ = copy_.values;
    ++era_;
    Compact();
    compacted_revision_ = revision_;
  }
  std::string ValueOf(std::uint64_t revision) const {
    if (era_ == 0)
      return std::to_string(revision);
    // Long enough to be sent as a difference, and unlike that of the same
    // revision in another era.
    return std::to_string(era_) + ":" + std::to_string(revision) +
           std::string(kMinPatchedBytes, 'x');
  }
  void Compact() {
    if (!log_.empty())
      compacted_revision_ = log_.back().first;
    log_.clear();
  }
  watch_batch Watch(store_cursor cursor) const {
    if (!cursor.IsSet()) {
      watch_batch listing{
          .cursor = {revision_, era_}, .reset = true, .events = {}};
      for (const auto& [key, version] : objects_)
        listing.events.push_back({key, version, values_.at(key)});
      return listing;
    }
    if (cursor.revision < compacted_revision_ || cursor.era != era_)
      return {.cursor = 0, .reset = true, .events = {}};
    watch_batch changes{
        .cursor = {revision_, era_}, .reset = false, .events = {}};
    for (const auto& [revision, event] : log_) {
      if (revision > cursor.revision)
        changes.events.push_back(event);
    }
    return changes;
  }
  // The revision at which the object was first deleted after `revision`.
  std::optional<std::uint64_t> DeletedAfter(const std::string& key,
                                            std::uint64_t revision) const {
    const auto found = deletions_.find(key);
    if (found == deletions_.end())
      return std::nullopt;
    for (const auto deleted : found->second) {
      if (deleted > revision)
        return deleted;
    }
    return std::nullopt;
  }
  // The current values, by key.
  std::map<std::string, std::string> values() const {
    std::map<std::string, std::string> values;
    for (const auto& [key, version] : objects_)
      values[key] = values_.at(key);
    return values;
  }

 private:
  struct copy {
    std::uint64_t revision = 0;
    std::map<std::string, std::uint64_t> objects;
    std::map<std::string, std::string> values;
  };

  std::uint64_t era_ = 0;
  copy copy_;
  std::map<std::string, std::string> values_;
  std::uint64_t revision_ = 1;
  std::uint64_t compacted_revision_ = 0;
  std::map<std::string, std::uint64_t> objects_;
  std::map<std::string, std::vector<std::uint64_t>> deletions_;
  std::deque<std::pair<std::uint64_t, store_event>> log_;
};

// Model of one entry: its mirror, its relay, and the states that it must not go
// back to.
struct modelled_entry {
  explicit modelled_entry(const clock_source& clock) : relay(clock) {}

  object_relay relay;
  object_mirror mirror;
  // For each object, the latest revision that this entry has observed and
  // whether the object existed at it.
  struct observation {
    std::uint64_t revision = 0;
    bool present = false;
  };
  std::map<std::string, observation> observed;
};

const std::string kPrefix = "k/";
constexpr std::size_t kEntries = 6;
constexpr std::size_t kWatchers = 2;
constexpr int kKeys = 12;

class modelled_region {
 public:
  // With `restores`, the store comes back from a copy again and again.
  explicit modelled_region(std::uint64_t seed, bool restores = false)
      : random_(seed), restores_(restores) {
    for (std::size_t i = 0; i < kEntries; ++i)
      Restart(i);
  }

  void RunFaults(int steps) {
    for (int i = 0; i < steps; ++i) {
      InjectFaults();
      Step(random_() % kEntries);
    }
  }
  void Heal() {
    disconnected_from_store_.clear();
    disconnected_from_peers_.clear();
    for (int round = 0; round < (restores_ ? 100 : 40); ++round) {
      clock_.Advance(100ms);
      for (std::size_t i = 0; i < kEntries; ++i)
        Step(i);
    }
  }
  bool AllMirrorsMatchStore() const {
    const auto expected = store_.values();
    return std::all_of(entries_.begin(), entries_.end(), [&](const auto& each) {
      return each->mirror.objects() == expected;
    });
  }

 private:
  std::string Key() { return kPrefix + std::to_string(random_() % kKeys); }
  bool Chance(unsigned percent) { return random_() % 100 < percent; }

  void Restart(std::size_t i) {
    entries_.resize(kEntries);
    entries_[i] = std::make_unique<modelled_entry>(clock_);
  }
  void InjectFaults() {
    clock_.Advance(milliseconds(random_() % 300));
    if (Chance(50))
      store_.Write(Key());
    if (Chance(15))
      store_.Delete(Key());
    if (Chance(5))
      store_.Compact();
    if (restores_ && Chance(6))
      store_.MakeCopy();
    if (restores_ && Chance(4))
      store_.Restore();
    if (Chance(3))
      Restart(random_() % kEntries);
    if (Chance(10))
      disconnected_from_store_[random_() % kEntries] = Chance(50);
    if (Chance(10))
      disconnected_from_peers_[random_() % kEntries] = Chance(50);
    if (Chance(4)) {
      const bool down = Chance(50);
      for (std::size_t i = 0; i < kEntries; ++i)
        disconnected_from_store_[i] = down;
    }
  }

  // Queries the sources in the order in which an entry does: the region's
  // watchers, then the platform, and, if nothing is known yet, any peer for its
  // last known state.
  void Step(std::size_t i) {
    auto& self = *entries_[i];
    const auto cursor = self.mirror.cursor();
    auto batch = WatchThroughPeers(i, cursor);
    bool confirmed = false;
    if (!batch && !disconnected_from_store_[i]) {
      batch = store_.Watch(cursor);
      confirmed = true;
    }
    if (!batch && !cursor.IsSet())
      batch = FetchLastKnown(i);
    if (!batch)
      return;
    self.relay.Publish(kPrefix, *batch, confirmed);
    self.mirror.Apply(*batch, clock_.now());
    self.mirror.Expire(clock_.now());
    if (!restores_)
      CheckMonotonic(self);
  }
  std::optional<watch_batch> WatchThroughPeers(std::size_t i,
                                               store_cursor cursor) {
    if (i < kWatchers || disconnected_from_peers_[i])
      return std::nullopt;
    for (std::size_t watcher = 0; watcher < kWatchers; ++watcher) {
      if (disconnected_from_peers_[watcher])
        continue;
      auto batch = WatchWatcher(entries_[watcher]->relay, *entries_[i], cursor);
      if (batch)
        return std::move(batch.value());
    }
    return std::nullopt;
  }
  // With restores, values are sent as differences. If these are of another
  // version than the entry has, it asks for a listing.
  result<watch_batch> WatchWatcher(object_relay& watcher,
                                   modelled_entry& self,
                                   store_cursor cursor) const {
    if (!restores_)
      return watcher.Watch(kPrefix, cursor, 0ms);
    BOOST_OUTCOME_TRY(patched, watcher.WatchPatched(kPrefix, cursor, 0ms));
    auto resolved = self.relay.ResolvePatches(kPrefix, patched);
    return resolved ? resolved : watcher.Watch(kPrefix, 0, 0ms);
  }
  std::optional<watch_batch> FetchLastKnown(std::size_t i) {
    const auto peer = random_() % kEntries;
    if (peer == i || disconnected_from_peers_[i] ||
        disconnected_from_peers_[peer])
      return std::nullopt;
    auto batch = entries_[peer]->relay.LastKnown(kPrefix);
    if (!batch)
      return std::nullopt;
    return std::move(batch.value());
  }

  // Once an entry has observed a state of an object, it must never observe an
  // older one.
  void CheckMonotonic(modelled_entry& self) {
    for (const auto& [key, value] : self.mirror.objects()) {
      const auto revision = std::stoull(value);
      auto& observed = self.observed[key];
      INFO(key << " at " << revision << " after " << observed.revision);
      REQUIRE(revision >= observed.revision);
      observed = {revision, true};
    }
    for (auto& [key, observed] : self.observed) {
      if (!observed.present || self.mirror.objects().contains(key))
        continue;
      const auto deleted = store_.DeletedAfter(key, observed.revision);
      INFO(key << " disappeared after " << observed.revision);
      REQUIRE(deleted);
      observed = {*deleted, false};
    }
  }

  std::mt19937_64 random_;
  const bool restores_;
  manual_clock clock_;
  modelled_store store_;
  std::vector<std::unique_ptr<modelled_entry>> entries_;
  std::map<std::size_t, bool> disconnected_from_store_;
  std::map<std::size_t, bool> disconnected_from_peers_;
};

}  // namespace

// Entries of a region learn of changes from the store, from each other and, in
// an outage, from any peer's last known state, while links fail, the store
// loses its history and entries restart. An entry that returned to an older
// state would process requests by a superseded configuration or send work to a
// target that is leaving; an entry that stayed behind would do so permanently.
TEST_CASE("entries never return to an older state and finally converge") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    modelled_region region(seed);
    region.RunFaults(400);
    region.Heal();
    REQUIRE(region.AllMirrorsMatchStore());
  }
}

// Guards against entries that stay behind for ever because the store came back
// from a copy: its revisions are given out again, and entries of two eras
// follow each other.
TEST_CASE("entries converge after restores of the store") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    modelled_region region(seed, true);
    region.RunFaults(400);
    region.Heal();
    REQUIRE(region.AllMirrorsMatchStore());
  }
}
