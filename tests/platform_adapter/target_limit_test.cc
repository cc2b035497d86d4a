#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/wire_text.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// Four entries, three of them in the region "a" of all targets.
struct fleet_setup {
  test_setup targets;
  std::vector<platform_settings> settings;
  std::vector<std::unique_ptr<platform_entry>> entries;

  fleet_setup() {
    for (int i = 1; i <= 4; ++i) {
      auto one = TestSettings(targets.stand_in.address());
      const std::string region = i == 4 ? "b" : "a";
      one.traffic.place = {"entry-" + std::to_string(i), region + "-1", region};
      one.regions = {{"a-1", "a"}, {"b-1", "b"}};
      one.traffic.min_fleet_size = 2;
      if (!settings.empty())
        one.traffic.seeds = {settings.front().traffic.peer_address};
      settings.push_back(one);
      entries.push_back(StartEntry(one));
    }
    for (const auto& one : settings)
      REQUIRE(Eventually([&] { return IsReady(one); }));
    // By then all entries know each other, also those of the other region.
    std::this_thread::sleep_for(3s);
  }
  call_response Request(std::size_t entry) const {
    return SendCall(settings[entry].traffic.caller_address, {});
  }
};

}  // namespace

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
