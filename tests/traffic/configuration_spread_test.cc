#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "traffic/followed_region.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Time in which all entries must have a change, by what the users ask.
constexpr milliseconds kChangeLimit{3000};
// Size of a region of the users' installations, and the routes of a large
// configuration.
constexpr std::size_t kRegionEntries = 26;
constexpr int kRoutes = 1744;

// The entries that miss a change when none does.
const std::vector<std::string> kNone;

// A configuration as the platform stores it. Values differ in `version`, at
// both ends of the text, and in the weight of the route `changed`.
std::string Configuration(int version, int routes, int changed = 0) {
  std::mt19937 random(1);
  std::string text = fmt::format(
      R"({{"metadata":{{"rev":{}}},"spec":{{"rules":[)", 1000 + version);
  for (int i = 0; i < routes; ++i) {
    text += fmt::format(
        R"({{"name":"r-{:07x}","kind":"safe","responseTimeGoal":"600ms","priority":2,)"
        R"("match":{{"pathBeginsWith":"/{:x}/{:x}/"}},"action":{{"service":"{:x}a",)"
        R"("weight":{},"timeout":"1500ms","attempts":2,"servingPlaces":[]}}}},)",
        random() & 0xfffffffU, random(), random() & 0xfffffU, random() & 3U,
        i == changed ? version : 90);
  }
  return text + fmt::format(R"({{}}],"version":"{:08x}"}}}})", version);
}

}  // namespace

// Guards against a region in which a large configuration saturates the links
// of the entries that pass it on, so that it arrives late or never.
TEST_CASE("a configuration of many routes reaches a region in time") {
  followed_region region(kRegionEntries, {"config/", "evacuations/"});
  region.store().Write("config/main", Configuration(1, 20));
  REQUIRE(region.WaitForAll("config/main", Configuration(1, 20), 30s) == kNone);
  region.store().Write("config/main", Configuration(2, kRoutes));
  CHECK(region.WaitForAll("config/main", Configuration(2, kRoutes),
                          kChangeLimit) == kNone);
}

// Guards against small changes that wait behind a large configuration on the
// same link.
TEST_CASE("an evacuation reaches a region beside a large configuration") {
  followed_region region(kRegionEntries, {"config/", "evacuations/"});
  region.store().Write("config/main", Configuration(1, 20));
  REQUIRE(region.WaitForAll("config/main", Configuration(1, 20), 30s) == kNone);
  region.store().Write("config/main", Configuration(2, kRoutes));
  std::this_thread::sleep_for(200ms);
  region.store().Write("evacuations/a-2", "{}");
  CHECK(region.WaitForAll("evacuations/a-2", "{}", kChangeLimit) == kNone);
}

// Guards against entries that stay behind for a whole series of versions, each
// of which is as large as the one before.
TEST_CASE("a series of versions of a large configuration reaches a region") {
  followed_region region(kRegionEntries, {"config/", "evacuations/"});
  region.store().Write("config/main", Configuration(1, kRoutes));
  REQUIRE(region.WaitForAll("config/main", Configuration(1, kRoutes), 60s) ==
          kNone);
  for (int version = 2; version <= 25; ++version) {
    region.store().Write("config/main",
                         Configuration(version, kRoutes, version * 60));
    std::this_thread::sleep_for(60ms);
  }
  CHECK(region.WaitForAll("config/main", Configuration(25, kRoutes, 25 * 60),
                          kChangeLimit) == kNone);
}

// Guards against entries that stay behind while the store turns a third of a
// region away, among them entries that the others follow.
TEST_CASE("versions reach a region of which the store turns a third away") {
  for (std::size_t first = 0; first < 3; ++first) {
    INFO("turned away from entry " << first);
    followed_region region(kRegionEntries, {"config/", "evacuations/"});
    region.store().Write("config/main", Configuration(1, kRoutes));
    REQUIRE(region.WaitForAll("config/main", Configuration(1, kRoutes), 60s) ==
            kNone);
    region.TurnAway(first, 3);
    for (int version = 2; version <= 4; ++version) {
      region.store().Write("config/main",
                           Configuration(version, kRoutes, version * 60));
      CHECK(region.WaitForAll("config/main",
                              Configuration(version, kRoutes, version * 60),
                              kChangeLimit) == kNone);
    }
  }
}

namespace {

// Checks that versions written while the store turns both watchers and some
// backups of a region away reach all of it in time.
void CheckWithoutWatchers(std::size_t backups_turned_away) {
  followed_region region(kRegionEntries, {"config/", "evacuations/"});
  region.store().Write("config/main", Configuration(1, 20));
  REQUIRE(region.WaitForAll("config/main", Configuration(1, 20), 30s) == kNone);
  region.TurnAway(source_role::kWatcher, 2);
  region.TurnAway(source_role::kBackup, backups_turned_away);
  for (int version = 2; version <= 4; ++version) {
    region.store().Write("config/main", Configuration(version, 20));
    CHECK(region.WaitForAll("config/main", Configuration(version, 20),
                            kChangeLimit) == kNone);
  }
}

}  // namespace

// Guards against watchers that stay behind because the store turns them away.
TEST_CASE("versions reach a region of which the store turns watchers away") {
  CheckWithoutWatchers(0);
}

// Guards against followers that ask for too long where there is no fresh copy.
TEST_CASE("versions reach a region of whose sources one has the store") {
  CheckWithoutWatchers(3);
}
