#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "traffic/followed_region.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// The shortest time for which a target that has announced its leaving serves
// on, and the part of it that a request may take from its choice to the target:
// a connection that fails and another one.
constexpr milliseconds kShortestDrain{2500};
constexpr milliseconds kSendTime{500};
constexpr milliseconds kLimit = kShortestDrain - kSendTime;
constexpr std::size_t kRegionEntries = 26;
const std::string kKey = "servers/i-1";

// The sources of a region that the store turns away.
struct refused_sources {
  std::size_t watchers = 0;
  std::size_t backups = 0;
};

}  // namespace

// Guards against requests at a target that has left, through entries whose
// sources the store turns away: they learned of it later than the target
// served.
TEST_CASE("a region learns that a target leaves before it is gone") {
  for (const auto& refused :
       std::vector<refused_sources>{{0, 0}, {1, 0}, {2, 0}, {2, 3}}) {
    followed_region region(kRegionEntries, {"servers/"});
    region.store().Write(kKey, "ready");
    REQUIRE(region.WaitForAll(kKey, "ready", 30s).empty());
    region.TurnAway(source_role::kWatcher, refused.watchers);
    region.TurnAway(source_role::kBackup, refused.backups);
    for (int round = 0; round < 4; ++round) {
      // Changes meet the watches of the sources at different ages.
      std::this_thread::sleep_for(370ms * round);
      const auto value = "draining " + std::to_string(round);
      const auto written = std::chrono::steady_clock::now();
      region.store().Write(kKey, value);
      const auto late = region.WaitForAll(kKey, value, kLimit);
      const auto took = std::chrono::duration_cast<milliseconds>(
          std::chrono::steady_clock::now() - written);
      INFO(refused.watchers << " watchers and " << refused.backups
                            << " backups turned away, round " << round
                            << ", after " << took.count() << " ms");
      CHECK_THAT(late, Catch::Matchers::Equals(std::vector<std::string>{}));
    }
  }
}
