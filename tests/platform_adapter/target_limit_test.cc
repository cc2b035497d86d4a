#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "platform_adapter/fleet_fixture.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

// Guards against a target in need that gets the rate that it names from each
// entry instead of from all together.
TEST_CASE("all entries together keep to the rate limit that a target names") {
  constexpr double kRate = 2;
  constexpr auto kWindow = 4s;
  // In a window, a target bears one and a half times its rate and five more.
  constexpr int kMaxArrivals = 1.5 * kRate * 4 + 5;
  fleet_setup fleet;
  auto& limited = fleet.targets.TargetWithStamp(fleet.Request(0).stamp);
  limited.rate_limit = kRate;
  for (std::size_t entry = 0; entry < 4; ++entry)
    fleet.Request(entry);
  std::this_thread::sleep_for(500ms);
  const int before = limited.arrivals;
  const auto end = std::chrono::steady_clock::now() + kWindow;
  for (std::size_t i = 0; std::chrono::steady_clock::now() < end; ++i) {
    // The other target takes what the limited one does not.
    REQUIRE(fleet.Request(i % 4).status == 200);
    std::this_thread::sleep_for(25ms);
  }
  const int arrivals = limited.arrivals - before;
  CHECK(arrivals <= kMaxArrivals);
  // The limit is used, not only obeyed.
  CHECK(arrivals >= kRate * 4 / 2);
}
