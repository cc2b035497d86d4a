#include "gateway/fleet_quarantine.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/manual_clock.h"
#include "traffic/routed_transport.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr request_fingerprint kCrasher = 1;
constexpr std::size_t kEntriesPerRegion = 3;
// So many that a turn of ordinary news reaches few of them.
constexpr std::size_t kEntriesOfLargeRegion = 10;

// Two regions of entries that know each other. Addresses are "REGION/NUMBER".
struct quarantine_fleet {
  struct entry {
    entry(transport_router& router,
          const std::string& name,
          const news_peers& peers,
          const clock_source& clock)
        : transport(router, name),
          quarantine(
              transport,
              [peers] { return peers; },
              clock,
              counters) {}

    metrics counters;
    routed_transport transport;
    fleet_quarantine quarantine;
  };

  explicit quarantine_fleet(std::size_t entries_per_region = kEntriesPerRegion)
      : region_size(entries_per_region) {
    for (const std::string region : {"a", "b"}) {
      for (std::size_t i = 0; i < region_size; ++i)
        Start(region + "/" + std::to_string(i));
    }
  }
  void Start(const std::string& name) {
    news_peers peers;
    const auto region = name.substr(0, 1);
    for (std::size_t i = 0; i < region_size; ++i) {
      const auto peer = region + "/" + std::to_string(i);
      if (peer != name)
        peers.region.push_back(peer);
    }
    peers.relays.push_back(region == "a" ? "b/0" : "a/0");
    entries.erase(name);
    entries.emplace(name, std::make_unique<entry>(router, name, peers, clock));
  }
  void Lose(const std::string& name, const std::string& target) {
    auto& quarantine = entries.at(name)->quarantine;
    quarantine.AttemptStarted(kCrasher, target);
    clock.Advance(50ms);
    quarantine.AttemptFinished(kCrasher, target, attempt_outcome::kLost, 50ms);
  }
  void Tick(int ticks) {
    for (int i = 0; i < ticks; ++i) {
      clock.Advance(1s);
      for (auto& [name, each] : entries)
        each->quarantine.Tick();
    }
  }
  std::size_t Refusing() {
    std::size_t count = 0;
    for (auto& [name, each] : entries) {
      count += each->quarantine.DecisionFor(kCrasher) ==
                       quarantine_decision::kQuarantined
                   ? 1
                   : 0;
    }
    return count;
  }

  const std::size_t region_size;
  manual_clock clock;
  transport_router router;
  std::map<std::string, std::unique_ptr<entry>> entries;
};

}  // namespace

// Guards against a request that crashes two targets in each region, since
// regions don't tell each other.
TEST_CASE("crashes in two regions quarantine a request in both") {
  quarantine_fleet fleet;
  fleet.Lose("a/1", "t0");
  fleet.Lose("b/2", "t1");
  CHECK(fleet.Refusing() == 2 * kEntriesPerRegion);
}

TEST_CASE("an entry that restarts learns what is in quarantine") {
  quarantine_fleet fleet;
  fleet.Lose("a/1", "t0");
  fleet.Lose("a/2", "t1");
  for (const std::string name : {"a/0", "a/1", "a/2"}) {
    fleet.Start(name);
    fleet.Tick(4);
    CHECK(fleet.Refusing() == 2 * kEntriesPerRegion);
  }
}

TEST_CASE("a region that was cut off learns what is in quarantine") {
  quarantine_fleet fleet;
  fleet.router.is_reachable = [](const auto& from, const auto& to) {
    return from[0] == to[0];
  };
  fleet.Lose("a/1", "t0");
  fleet.Lose("a/2", "t1");
  CHECK(fleet.Refusing() == kEntriesPerRegion);
  fleet.router.is_reachable = [](const auto&, const auto&) { return true; };
  fleet.Tick(10);
  CHECK(fleet.Refusing() == 2 * kEntriesPerRegion);
}

// Guards against load by messages: what is in quarantine is told all the time.
TEST_CASE("a quarantine costs a few small messages a second") {
  quarantine_fleet fleet;
  // Entries that start together ask each other for what they have missed.
  fleet.Tick(5);
  const auto started = static_cast<int>(fleet.entries.size());
  CHECK(fleet.router.messages <= 5 * 2 * 3 * started);
  fleet.router.messages = 0;
  fleet.Tick(10);
  CHECK(fleet.router.messages == 0);
  fleet.Lose("a/1", "t0");
  fleet.Lose("a/2", "t1");
  fleet.router.messages = 0;
  fleet.router.bytes = 0;
  fleet.Tick(100);
  const auto entries = static_cast<int>(fleet.entries.size());
  CHECK(fleet.router.messages <= 2 * 100 * entries);
  CHECK(fleet.router.bytes <= std::size_t{100} * 100 * fleet.entries.size());
}

// Guards against an entry that is killed and back before the others miss it,
// and sends what crashes targets until its turn to be told comes.
TEST_CASE("an entry that is back at once asks what is in quarantine") {
  quarantine_fleet fleet(kEntriesOfLargeRegion);
  fleet.Tick(6);
  fleet.Lose("a/1", "t0");
  fleet.Lose("a/2", "t1");
  REQUIRE(fleet.Refusing() == 2 * kEntriesOfLargeRegion);
  for (const std::string name : {"a/3", "a/4", "a/5", "a/6"})
    fleet.Start(name);
  fleet.Tick(1);
  CHECK(fleet.Refusing() == 2 * kEntriesOfLargeRegion);
}

// Guards against an entry that serves callers while it knows no other entry
// yet.
TEST_CASE("an entry asks those through which it joins the fleet") {
  quarantine_fleet fleet;
  fleet.Lose("a/1", "t0");
  fleet.Lose("a/2", "t1");
  fleet.Start("a/0");
  fleet.entries.at("a/0")->quarantine.Ask({"a/9", "b/1"});
  CHECK(fleet.Refusing() == 2 * kEntriesPerRegion);
}

// Guards against an entry that asks only others which have restarted as well,
// and takes it from them that nothing is in quarantine.
TEST_CASE("an entry asks on until one answers that did not restart") {
  quarantine_fleet fleet(kEntriesOfLargeRegion);
  fleet.Tick(6);
  fleet.Lose("a/1", "t0");
  fleet.Lose("a/2", "t1");
  fleet.router.is_reachable = [](const auto& from, const auto& to) {
    return from[0] == to[0];
  };
  for (std::size_t i = 0; i + 1 < kEntriesOfLargeRegion; ++i)
    fleet.Start("a/" + std::to_string(i));
  fleet.Tick(4);
  CHECK(fleet.Refusing() == 2 * kEntriesOfLargeRegion);
}

// Guards against entries that go on with a request that others have convicted,
// since a datagram about one of its losses did not reach them.
TEST_CASE("a conviction reaches entries that missed a loss at once") {
  quarantine_fleet fleet;
  fleet.router.is_reachable = [](const auto&, const auto& to) {
    return to != "a/2" && to != "b/2";
  };
  fleet.Lose("a/1", "t0");
  fleet.router.is_reachable = [](const auto&, const auto&) { return true; };
  fleet.Lose("a/1", "t1");
  CHECK(fleet.Refusing() == 2 * kEntriesPerRegion);
}

// Guards against a loss seen by an entry that knows nothing of those before:
// the others convict, and the one that sends the request goes on.
TEST_CASE("an entry that missed the losses before its own hears the verdict") {
  quarantine_fleet fleet(kEntriesOfLargeRegion);
  fleet.Tick(6);
  fleet.router.is_reachable = [](const auto&, const auto& to) {
    return to != "a/7";
  };
  fleet.Lose("a/1", "t0");
  fleet.router.is_reachable = [](const auto&, const auto&) { return true; };
  fleet.Lose("a/7", "t1");
  fleet.Tick(1);
  CHECK(fleet.Refusing() == 2 * kEntriesOfLargeRegion);
}

// Guards against an entry that sends a suspect again while the others hold it
// back until they know which of two requests crashes targets.
TEST_CASE("the pause of a suspect holds at entries that missed a loss") {
  quarantine_fleet fleet;
  constexpr request_fingerprint kBeside = 2;
  const auto lose_both = [&](const std::string& target) {
    auto& quarantine = fleet.entries.at("a/1")->quarantine;
    quarantine.AttemptStarted(kCrasher, target);
    quarantine.AttemptStarted(kBeside, target);
    fleet.clock.Advance(50ms);
    for (const auto request : {kCrasher, kBeside})
      quarantine.AttemptFinished(request, target, attempt_outcome::kLost, 50ms);
  };
  fleet.router.is_reachable = [](const auto&, const auto& to) {
    return to != "a/2";
  };
  lose_both("t0");
  fleet.router.is_reachable = [](const auto&, const auto&) { return true; };
  lose_both("t1");
  CHECK(fleet.Refusing() == 2 * kEntriesPerRegion);
}

// Guards against requests that are refused, since cuts reset the connection on
// which they ran, each time to another target: targets that respond afterwards
// have not crashed, whoever hears it.
TEST_CASE("a target that responds to any entry was not lost to others") {
  quarantine_fleet fleet;
  fleet.Lose("a/1", "t0");
  fleet.clock.Advance(100ms);
  fleet.entries.at("b/2")->quarantine.TargetResponded("t0", fleet.clock.now());
  fleet.clock.Advance(10s);
  fleet.Lose("a/1", "t1");
  CHECK(fleet.Refusing() == 0);
}
