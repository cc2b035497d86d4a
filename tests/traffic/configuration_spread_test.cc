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
        R"({{"name":"r-{:07x}","kind":"safe","targetLatency":"600ms","priority":2,)"
        R"("match":{{"pathPrefix":"/{:x}/{:x}/"}},"action":{{"service":"{:x}a",)"
        R"("weight":{},"timeout":"1500ms","maxAttempts":2,"homeRegions":[]}}}},)",
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
