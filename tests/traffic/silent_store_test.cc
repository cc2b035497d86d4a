#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "traffic/followed_region.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kRegionEntries = 26;
const std::string kKey = "config/main";
constexpr milliseconds kSilence{3300};
// The shortest time after a disturbance of the store from which all bounds hold
// again.
constexpr milliseconds kCalmAgain{3000};
// The shortest time in which a change has to be in force, and within which a
// target that leaves still serves, without that of a send.
constexpr milliseconds kLimit{2000};

}  // namespace

// Guards against calls and watches that were made in the last moments of a
// silent outage of the store and outlive it: an entry that waits for them, or
// leaves a peer alone that waits for them, keeps what is no longer in force.
TEST_CASE("changes after a silence of the store are known in time") {
  followed_region region(kRegionEntries, {"config/"});
  region.store().Write(kKey, "before");
  REQUIRE(region.WaitForAll(kKey, "before", 30s).empty());
  for (int round = 0; round < 5; ++round) {
    region.store().SetSilent(true);
    // The end of the silence meets calls of different ages.
    std::this_thread::sleep_for(kSilence + 230ms * round);
    region.store().SetSilent(false);
    const auto back = std::chrono::steady_clock::now();
    const auto calm = back + kCalmAgain;
    for (int change = 0; change < 4; ++change) {
      std::this_thread::sleep_until(calm + change * (kLimit + 130ms));
      const auto value =
          std::to_string(round) + " after " + std::to_string(change);
      region.store().Write(kKey, value);
      const auto written = std::chrono::steady_clock::now();
      const auto late = region.WaitForAll(kKey, value, kLimit);
      INFO("round " << round << ", change " << change << ", after "
                    << std::chrono::duration_cast<milliseconds>(
                           std::chrono::steady_clock::now() - written)
                           .count()
                    << " ms");
      CHECK_THAT(late, Catch::Matchers::Equals(std::vector<std::string>{}));
    }
  }
}

// Guards against the same for what changes at the very moment of the return,
// and was silent to the entries: it is known before bounds hold again.
TEST_CASE(
    "what changed in a silence of the store is known before all is calm") {
  followed_region region(kRegionEntries, {"config/"});
  region.store().Write(kKey, "before");
  REQUIRE(region.WaitForAll(kKey, "before", 30s).empty());
  for (int round = 0; round < 6; ++round) {
    region.store().SetSilent(true);
    std::this_thread::sleep_for(kSilence + 310ms * round);
    const auto value = std::to_string(round);
    region.store().Write(kKey, value);
    region.store().SetSilent(false);
    const auto back = std::chrono::steady_clock::now();
    const auto late = region.WaitForAll(kKey, value, kCalmAgain);
    INFO("round " << round << ", after "
                  << std::chrono::duration_cast<milliseconds>(
                         std::chrono::steady_clock::now() - back)
                         .count()
                  << " ms");
    CHECK_THAT(late, Catch::Matchers::Equals(std::vector<std::string>{}));
    std::this_thread::sleep_until(back + 2 * kCalmAgain);
  }
}
