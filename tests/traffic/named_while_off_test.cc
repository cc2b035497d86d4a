#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "support/lookup_simulation.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Time beyond the window of stable links after which an entry that is off may
// not be named any more.
constexpr milliseconds kUnlistingSlack{3000};
// Time after the end of an entry in which the measurement gives up.
constexpr auto kLimit = 60s;

struct loss_case {
  int entries;
  int lost;
};

// From one entry lost to all but one, in regions from the smallest to the
// largest.
const std::vector<loss_case> kLosses = {
    {4, 1},  {4, 3},   {10, 1},  {10, 9},  {24, 1},   {24, 13},  {24, 23},
    {65, 1}, {65, 36}, {65, 64}, {120, 1}, {120, 60}, {120, 119}};

std::vector<std::string> Shuffled(int count, std::uint64_t seed) {
  auto names = RegionNames(0, count);
  std::mt19937_64 random(seed);
  std::ranges::shuffle(names, random);
  return names;
}

// Returns the time until no entry names any of the lost ones.
duration TimeUntilUnnamed(const loss_case& each,
                          milliseconds bound,
                          double loss,
                          std::uint64_t seed) {
  lookup_simulation world(seed, bound);
  world.StartRegion(each.entries);
  world.world.network.loss = loss;
  auto off = Shuffled(each.entries, seed);
  off.resize(static_cast<std::size_t>(each.lost));
  world.Run(milliseconds(seed * 170 % 1000));
  world.Crash(off);
  return world.TimeUntilUnnamed(off, kLimit);
}

double Seconds(duration time) {
  return std::chrono::duration<double>(time).count();
}

void CheckAllLosses(milliseconds stable_window, double loss) {
  const auto bound = stable_window + kUnlistingSlack;
  for (const auto& each : kLosses) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      INFO(each.lost << " of " << each.entries << ", seed " << seed);
      CHECK(Seconds(TimeUntilUnnamed(each, bound, loss, seed)) <
            Seconds(bound));
    }
  }
}

}  // namespace

// Guards against callers that are sent to instances without power: any share of
// a region is lost at once.
TEST_CASE("no look-up names an entry for longer than its bound after its end") {
  const auto stable_window = GENERATE(1000ms, 3000ms, 4000ms);
  INFO("stable window " << stable_window.count() << " ms");
  CheckAllLosses(stable_window, 0);
}

// Guards against the same while a tenth of all datagrams is lost.
TEST_CASE("the bound of look-ups holds at a tenth of loss") {
  CheckAllLosses(3000ms, 0.1);
}

// Guards against callers that are sent to an entry which has been stopped in an
// orderly way, and against shares of limits that it is counted for again.
TEST_CASE("an announced leaver that has ended is named and counted no more") {
  const int entries = GENERATE(4, 24, 65);
  lookup_simulation world(7, 6000ms);
  world.StartRegion(entries);
  const auto left = RegionNames(1, 3);
  for (const auto& name : left)
    world.Leave(name);
  world.Run(2s);
  REQUIRE_FALSE(world.AnyNames(left));
  world.Run(3800ms);
  world.Crash(left);
  for (int i = 0; i < 200; ++i) {
    world.Run(100ms);
    INFO(entries << " entries, " << i << " tenths of a second after the end");
    REQUIRE_FALSE(world.AnyNames(left));
    for (const auto& name : world.world.Names())
      REQUIRE(world.CountShares(name) == static_cast<std::size_t>(entries - 3));
  }
}

// Guards against a list of last resort that sends callers to entries that are
// dead or leaving: a new entry that is not ready yet knows no ready one.
TEST_CASE("the list of last resort names neither the dead nor the leaving") {
  lookup_simulation world(8, 6000ms);
  world.StartRegion(4);
  world.Start("r-0");
  world.Run(500ms);
  world.Leave("r-1");
  world.Crash(RegionNames(2, 2));
  world.Run(30s);
  const std::set<std::string> running{"r-0"};
  CHECK(world.NamedBy("r-0") == running);
  CHECK(world.NamedBy("r-1") == running);
  world.Crash("r-0");
  world.Run(6s);
  CHECK(world.NamedBy("r-1").empty());
}

// Guards against an entry that keeps a stale report of one that has ended: the
// others have told each other of the end long before it started.
TEST_CASE("an entry that starts learns of the entries that have ended") {
  lookup_simulation world(9, 6000ms);
  world.StartRegion(24);
  const auto old = world.world.Core("r-5").table().self();
  world.Crash("r-5");
  world.Run(30s);
  world.Start("r-7");
  world.Run(3s);
  // A report that was under way for long, as from a process that was paused.
  const peer_message late{"r-3", 1, "r-3",
                          EncodeBinary(records_message{{old}, {}})};
  world.world.Core("r-7").Receive(message_kind::kGossip, late,
                                  world.world.network.now());
  CHECK(Seconds(world.TimeUntilUnnamed({"r-5"}, kLimit)) < 6);
}

// Guards against callers that stay away from an entry which serves again.
TEST_CASE("an entry that comes back is named within 1.5 s of being ready") {
  const int entries = GENERATE(4, 10, 24, 65, 120);
  const double loss = GENERATE(0.0, 0.1);
  lookup_simulation world(10, 6000ms);
  world.StartRegion(entries);
  world.world.network.loss = loss;
  for (const auto away : {500ms, 20'000ms}) {
    world.Crash("r-3");
    world.Run(away);
    world.Start("r-3");
    world.Run(1s);
    world.MakeReady("r-3");
    INFO(entries << " entries, away for " << away.count() << " ms, loss "
                 << loss);
    CHECK(Seconds(world.TimeUntilNamed("r-3", kLimit)) <= 1.5);
  }
}

// Guards against callers that stay away from an entry whose links were cut for
// a while: the others held it for dead, and it held them.
TEST_CASE("an entry that was cut off is named soon after the cut") {
  const int entries = GENERATE(4, 24, 65);
  lookup_simulation world(11, 6000ms);
  world.StartRegion(entries);
  world.world.network.is_blocked = [](const auto& from, const auto& to) {
    return (from == "r-3") != (to == "r-3");
  };
  world.Run(30s);
  CHECK(world.NamedBy("r-3") == std::set<std::string>{"r-3"});
  CHECK_FALSE(world.NamedBy("r-1").contains("r-3"));
  world.world.network.is_blocked = [](const auto&, const auto&) {
    return false;
  };
  INFO(entries << " entries");
  CHECK(Seconds(world.TimeUntilNamed("r-3", kLimit)) <= 2.5);
  for (const auto& name : world.world.Names())
    CHECK(Seconds(world.TimeUntilNamed(name, kLimit)) <= 2.5);
}

// Guards against look-ups that leave out entries which serve, since messages
// are lost: the others would get their callers.
TEST_CASE("look-ups name nearly all entries that serve at a tenth of loss") {
  const int entries = GENERATE(4, 24, 65);
  lookup_simulation world(12, 6000ms);
  world.StartRegion(entries);
  world.world.network.loss = 0.1;
  std::size_t named = 0;
  std::size_t served = 0;
  for (int i = 0; i < 300; ++i) {
    world.Run(1s);
    for (const auto& name : world.world.Names()) {
      const auto count = world.NamedBy(name).size();
      REQUIRE(count > 0);
      named += count;
      served += static_cast<std::size_t>(entries);
    }
  }
  INFO(entries << " entries");
  CHECK(static_cast<double>(served - named) / static_cast<double>(served) <
        0.005);
  for (const auto& name : world.world.Names())
    CHECK(world.world.CountEvents(name, member_state::kDead) == 0);
}

// Guards against an entry that goes by what it knew before it was suspended.
TEST_CASE("a suspended entry ceases to name what ended meanwhile") {
  lookup_simulation world(13, 6000ms);
  world.StartRegion(24);
  world.world.Pause("r-2");
  world.Run(1s);
  const auto off = RegionNames(5, 8);
  world.Crash(off);
  world.Run(15s);
  world.world.Resume("r-2");
  // The entry counts again once its links have been stable for this long.
  world.Run(3s);
  CHECK_FALSE(world.AnyNames(off));
}
