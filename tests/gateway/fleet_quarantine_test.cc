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

  quarantine_fleet() {
    for (const std::string region : {"a", "b"}) {
      for (std::size_t i = 0; i < kEntriesPerRegion; ++i)
        Start(region + "/" + std::to_string(i));
    }
  }
  void Start(const std::string& name) {
    news_peers peers;
    const auto region = name.substr(0, 1);
    for (std::size_t i = 0; i < kEntriesPerRegion; ++i) {
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
