#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/fleet_fixture.h"
#include "platform_adapter/wire_text.h"

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

// Guards against requests that reach a limited target twice on one permit, when
// it closes connections kept from earlier requests.
TEST_CASE("a target that closes kept connections gets one request a permit") {
  constexpr double kRate = 5;
  constexpr auto kWindow = 3s;
  constexpr int kMaxArrivals = 1.5 * kRate * 3 + 5;
  test_setup r;
  r.settings.traffic.bounds.retries = {.ratio = 10, .slack = 1000};
  r.StartReady();
  auto& limited = r.TargetWithStamp(r.Request().stamp);
  limited.rate_limit = kRate;
  limited.behavior = target_behavior::kCloseKeptConnection;
  for (int i = 0; i < 10; ++i)
    r.Request();
  const int before = limited.arrivals;
  const auto end = std::chrono::steady_clock::now() + kWindow;
  while (std::chrono::steady_clock::now() < end) {
    r.Request();
    std::this_thread::sleep_for(10ms);
  }
  CHECK(limited.arrivals - before <= kMaxArrivals);
}

// Guards against refusing what another target would serve, because many targets
// have used up their limits.
TEST_CASE("a request finds the one target of a service that has no limit") {
  test_setup r;
  constexpr int kLimited = 7;
  std::vector<std::unique_ptr<wire_target>> limited;
  for (int i = 0; i < kLimited; ++i) {
    limited.push_back(
        std::make_unique<wire_target>("i-limited-" + std::to_string(i)));
    limited.back()->rate_limit = 0;
    r.stand_in.Write("servers/" + limited.back()->id(),
                     TargetObject(limited.back()->address(), "reads"));
  }
  r.read_1.rate_limit = 0;
  r.StartReady();
  for (int i = 0; i < 60; ++i)
    CHECK(r.Request().status == 200);
  CHECK(r.read_2.runs >= 60 - 3 * (kLimited + 1));
}
