#include "allowance/partition_manager.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "allowance/partition_slot_map.h"
#include "support/fake_object_store.h"
#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kPartitions = 6;
constexpr auto kTakeoverDelay = 20s;

struct test_user final : partition_user {
  std::vector<std::uint32_t> usable;
  bool idle = true;

  void OnUsablePartitions(
      const std::vector<std::uint32_t>& partitions) override {
    usable = partitions;
  }
  bool IsIdle(std::uint32_t /*partition*/) override { return idle; }
};

// Partition managers of one region's entries that share a fake object store and
// are stepped in simulated time.
struct partition_fixture {
  struct entry {
    test_user user;
    std::unique_ptr<partition_manager> manager;
  };

  void Start(const std::string& name) {
    auto& one = entries[name];
    partition_manager_state state(name, "kandy", ++incarnation, {},
                                  clock.now());
    one.manager = std::make_unique<partition_manager>(
        store, clock, registry, "kandy", std::move(state), one.user);
    one.manager->SetPartitions(kPartitions, kTakeoverDelay);
    listed[name] = {name, "entry", "", "kandy", "kandy-a"};
    PublishInstances();
  }
  // Ends the process without a release; with `gone` its instance leaves the
  // list too.
  void StopEntry(const std::string& name, bool gone) {
    entries.erase(name);
    if (gone)
      listed.erase(name);
    PublishInstances();
  }
  void PublishInstances() {
    std::vector<instance_info> list;
    for (const auto& [name, info] : listed)
      list.push_back(info);
    store.SetInstances(list);
  }
  void Run(std::chrono::seconds by) {
    std::vector<std::string> names;
    for (const auto& [name, one] : entries)
      names.push_back(name);
    for (const auto end = clock.now() + by; clock.now() < end;
         clock.Advance(100ms)) {
      for (auto& [name, one] : entries) {
        one.manager->SetMembers(names);
        one.manager->Step();
      }
    }
  }
  std::size_t Usable(const std::string& name) {
    return entries.at(name).user.usable.size();
  }
  int Calls() const { return store.reads() + store.writes(); }

  fake_object_store store;
  manual_clock clock;
  metrics registry;
  std::map<std::string, instance_info> listed;
  std::map<std::string, entry> entries;
  std::uint64_t incarnation = 0;
};

// Starts entries and runs until each owns its share.
std::unique_ptr<partition_fixture> StartSettled(int entries) {
  auto fixture = std::make_unique<partition_fixture>();
  for (int n = 0; n < entries; ++n)
    fixture->Start(fmt::format("e{}", n));
  fixture->Run(30s);
  return fixture;
}

}  // namespace

TEST_CASE("entries own even shares of the partitions, also after one joins") {
  const auto fixture = StartSettled(2);
  CHECK(fixture->Usable("e0") == 3);
  CHECK(fixture->Usable("e1") == 3);
  fixture->Start("e2");
  fixture->Run(30s);
  for (const auto* name : {"e0", "e1", "e2"})
    CHECK(fixture->Usable(name) == 2);
  CHECK(fixture->registry.counter("seats_lost_total") == 0);
}

TEST_CASE("a partition in use is not handed over before its work has ended") {
  // A new entry joins while long downloads run on all slots of the others. If a
  // partition were handed over early, its slots would be used twice.
  const auto fixture = StartSettled(2);
  fixture->entries.at("e0").user.idle = fixture->entries.at("e1").user.idle =
      false;
  fixture->Start("e2");
  fixture->Run(60s);
  CHECK(fixture->Usable("e2") == 0);
  CHECK(fixture->Usable("e0") + fixture->Usable("e1") >= 4);
  fixture->entries.at("e0").user.idle = fixture->entries.at("e1").user.idle =
      true;
  fixture->Run(30s);
  CHECK(fixture->Usable("e2") == 2);
}

TEST_CASE("no entry loses its partitions in an outage of the store") {
  // The platform's store is down for ten minutes. If ownership expired, the
  // region would refuse all requests although all its targets are healthy.
  const auto fixture = StartSettled(2);
  fixture->store.SetDown(true);
  const int before = fixture->Calls();
  fixture->Run(600s);
  CHECK(fixture->Usable("e0") == 3);
  CHECK(fixture->Usable("e1") == 3);
  CHECK(fixture->Calls() - before < 2 * 10 * 10);
  fixture->store.SetDown(false);
  fixture->Run(60s);
  CHECK(fixture->Usable("e0") + fixture->Usable("e1") == kPartitions);
}

TEST_CASE("lost responses neither duplicate nor lose a partition") {
  // Claims take effect but their responses are lost, or they never arrive.
  const bool took_effect = GENERATE(true, false);
  partition_fixture fixture;
  took_effect ? fixture.store.LoseNextResponses(5)
              : fixture.store.LoseNextRequests(5);
  fixture.Start("e0");
  fixture.Start("e1");
  fixture.Run(30s);
  CHECK(fixture.Usable("e0") == 3);
  CHECK(fixture.Usable("e1") == 3);
}

TEST_CASE("a restarted process waits before it uses its partitions") {
  // The process is killed and restarted within a second. Requests sent by its
  // predecessor still run at the targets, and slots lent by it are still out.
  const auto fixture = StartSettled(2);
  fixture->StopEntry("e0", false);
  fixture->Start("e0");
  fixture->Run(20s);
  CHECK(fixture->entries.at("e0").manager->owned_count() == 3);
  CHECK(fixture->Usable("e0") == 0);
  fixture->Run(2s);
  CHECK(fixture->Usable("e0") == 3);
}

TEST_CASE(
    "partitions of a gone instance are recovered, of an unreachable one not") {
  // An instance whose process died, but which the platform still lists, may
  // still have work running, so its share is only reported as stranded. Once it
  // is gone from the list, its work is certain to end, and its partitions are
  // claimed.
  const auto fixture = StartSettled(3);
  fixture->StopEntry("e0", false);
  fixture->Run(120s);
  CHECK(fixture->Usable("e1") + fixture->Usable("e2") == 4);
  CHECK(fixture->entries.at("e1").manager->Stranded().size() +
            fixture->entries.at("e2").manager->Stranded().size() >=
        2);
  fixture->listed.erase("e0");
  fixture->PublishInstances();
  // Up to 30 s until the list is read, 10 s of absence, then the takeover
  // delay.
  fixture->Run(75s);
  CHECK(fixture->Usable("e1") == 3);
  CHECK(fixture->Usable("e2") == 3);
}

TEST_CASE("a leaving entry hands its partitions over at once") {
  const auto fixture = StartSettled(3);
  fixture->entries.at("e0").manager->Leave();
  fixture->entries.at("e0").manager->Step();
  CHECK(fixture->Usable("e0") == 0);
  fixture->Run(3s);
  CHECK(fixture->entries.at("e0").manager->owned_count() == 0);
  fixture->StopEntry("e0", true);
  fixture->Run(10s);
  CHECK(fixture->Usable("e1") + fixture->Usable("e2") == kPartitions);
}

TEST_CASE("a partition with an unreadable record is left to the operator") {
  // The object of a partition was overwritten. Its owner may still be using it.
  partition_fixture fixture;
  REQUIRE(fixture.store.Put(PartitionKey("kandy", 0), "garbage", 0));
  fixture.Start("e0");
  fixture.Run(60s);
  CHECK(fixture.Usable("e0") == kPartitions - 1);
  CHECK(fixture.registry.counter("seat_errors_total",
                                 "reason=\"store-corrupt\"") > 0);
}

TEST_CASE("store calls stay few, both when idle and for a takeover") {
  const auto fixture = StartSettled(3);
  fixture->Run(120s);
  int before = fixture->Calls();
  fixture->Run(600s);
  const int idle = fixture->Calls() - before;
  before = fixture->Calls();
  fixture->StopEntry("e0", true);
  fixture->Run(60s);
  const int takeover = fixture->Calls() - before;
  WARN("calls per entry and idle minute " << idle / 30.0 << ", per takeover "
                                          << takeover);
  CHECK(idle <= 3 * 10 * 2);
  CHECK(takeover <= 60);
  CHECK(fixture->Usable("e1") + fixture->Usable("e2") == kPartitions);
}

TEST_CASE("a changed number of partitions takes effect at once") {
  const auto fixture = StartSettled(2);
  fixture->Run(5s);
  for (auto& [name, one] : fixture->entries)
    one.manager->SetPartitions(4, kTakeoverDelay);
  fixture->Run(5s);
  CHECK(fixture->Usable("e0") == 2);
  CHECK(fixture->Usable("e1") == 2);
  for (auto& [name, one] : fixture->entries)
    one.manager->SetPartitions(kPartitions, kTakeoverDelay);
  fixture->Run(10s);
  CHECK(fixture->Usable("e0") + fixture->Usable("e1") == kPartitions);
}

TEST_CASE("a single read of the list does not make an instance gone") {
  // A read may return a copy of the list from before the instance was added.
  owner_absence_tracker tracker(10s);
  const time_point start(1h);
  const std::vector<instance_info> with{{"e0", "entry", "", "r", "d"}};
  tracker.OnInstances({}, {"e0"}, start);
  CHECK_FALSE(tracker.IsGone("e0"));
  tracker.OnInstances(with, {"e0"}, start + 9s);
  tracker.OnInstances({}, {"e0"}, start + 11s);
  CHECK_FALSE(tracker.IsGone("e0"));
  tracker.OnInstances({}, {"e0"}, start + 21s);
  CHECK(tracker.IsGone("e0"));
}

TEST_CASE("each slot of a target belongs to exactly one partition") {
  for (std::uint32_t partitions = 1; partitions <= 40; ++partitions) {
    for (std::uint32_t slots = 0; slots <= 45; ++slots) {
      const target one{fmt::format("t{}", slots), "", "", slots};
      std::uint32_t sum = 0;
      for (std::uint32_t partition = 0; partition < partitions + 2; ++partition)
        sum += SlotsOfPartition("s", one, partition, partitions);
      REQUIRE(sum == slots);
    }
  }
  const std::vector<target> targets{{"a", "", "", 3}, {"b", "", "", 4}};
  const std::vector<std::uint32_t> all{0, 1, 2, 3};
  CHECK(SlotsOfPartitions("s", targets, all, 4) ==
        std::vector<std::uint32_t>{3, 4});
}

// Guards against using slots twice: the store has acknowledged that a partition
// changed its owner, and comes back from a copy that is older.
TEST_CASE("no partition has two owners after a restore of the store") {
  const auto fixture = StartSettled(2);
  fixture->store.MakeCopy();
  fixture->Start("e2");
  fixture->Run(30s);
  fixture->store.Restore();
  for (int second = 0; second < 120; ++second) {
    fixture->Run(1s);
    std::map<std::uint32_t, int> users;
    for (const auto& [name, one] : fixture->entries) {
      for (const auto partition : one.user.usable)
        ++users[partition];
    }
    for (const auto& [partition, count] : users) {
      INFO("partition " << partition << " after " << second << " s");
      CHECK(count <= 1);
    }
  }
}
