#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "platform_adapter/fleet_fixture.h"
#include "platform_adapter/wire_text.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

constexpr int kRequests = 200;
// All requests of a test arrive within one window of the bound.
constexpr double kRatio = 0.2;
constexpr int kSlack = 10;
constexpr int kMaxRepeats = static_cast<int>(kRatio * kRequests) + kSlack;

std::string PathOf(int i) {
  return "/read/" + std::to_string(i);
}

// One entry, and targets that hold it to a small bound on repeated arrivals.
struct arrival_setup : test_setup {
  arrival_setup() {
    settings.traffic.bounds.retries = {.ratio = kRatio, .slack = kSlack};
    StartReady();
  }
  void Behave(target_behavior behavior) {
    for (auto* target : {&read_1, &read_2})
      target->behavior = behavior;
  }
  int Arrivals() const { return read_1.arrivals + read_2.arrivals; }
};

}  // namespace

// Guards against requests that are sent once more, uncounted, whenever a kept
// connection ends instead of a response: all targets of a service that close
// connections then get twice the load.
TEST_CASE("repeats over kept connections stay within the bound on retries") {
  arrival_setup r;
  r.Behave(target_behavior::kCloseKeptConnection);
  for (int i = 0; i < kRequests; ++i)
    r.Request({.path = PathOf(i), .id = std::to_string(i)});
  CHECK(r.Arrivals() - kRequests <= kMaxRepeats);
}

// Guards against a request that runs on more targets than its route allows,
// since the first of two sends over a kept connection is forgotten.
TEST_CASE("a request runs as often as its route allows on kept connections") {
  constexpr int kMaxAttempts = 2;
  arrival_setup r;
  for (auto* target : {&r.read_1, &r.read_2})
    target->crash_path = "/read/crasher";
  for (int i = 0; i < 20; ++i)
    r.Request({.path = PathOf(i), .id = std::to_string(i)});
  r.Request({.path = "/read/crasher", .id = "crasher"});
  CHECK(r.read_1.crashes + r.read_2.crashes <= kMaxAttempts);
}

// Guards against a team whose requests reach targets twice on one permit.
TEST_CASE("each run of a team's request takes a permit of its own") {
  constexpr double kRate = 50;
  constexpr double kBurst = 20.5;
  test_setup r;
  r.stand_in.Write("config/main", TeamManifestObject("00000004", false));
  r.settings.traffic.bounds.retries = {.ratio = 10, .slack = 1000};
  r.StartReady();
  for (auto* target : {&r.read_1, &r.read_2})
    target->behavior = target_behavior::kCloseKeptConnection;
  const auto started = std::chrono::steady_clock::now();
  for (int i = 0; i < kRequests; ++i) {
    r.Request({.path = PathOf(i),
               .id = std::to_string(i),
               .headers = {{"Credential", "key-1"}}});
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - started;
  const double permits =
      kBurst + kRate * took.count() + r.settings.traffic.bounds.limit_slack;
  CHECK(r.read_1.runs + r.read_2.runs > 0);
  CHECK(r.read_1.runs + r.read_2.runs <= permits);
}

// Guards against callers who lose their requests as the price of the bound: a
// target that has forgotten a connection never received the request.
TEST_CASE("requests on forgotten connections are served without retries") {
  test_setup r;
  r.settings.traffic.bounds.retries = {.ratio = 0, .slack = 0};
  r.StartReady();
  for (auto* target : {&r.read_1, &r.read_2}) {
    target->behavior = target_behavior::kForgetRestedConnection;
    target->forget_after_ms = 150;
  }
  for (int i = 0; i < 20; ++i) {
    CHECK(r.Request({.path = PathOf(i), .id = std::to_string(i)}).status ==
          200);
    std::this_thread::sleep_for(200ms);
  }
}

// Guards against an entry that sends requests a second time for another one,
// which counts a single attempt.
TEST_CASE("attempts passed on for a peer reach their targets once") {
  fleet_setup fleet;
  fleet.links[0]->CutAll(link_cut::kReset);
  for (int i = 0; i < 10; ++i)
    fleet.Request(0);
  for (auto* target : {&fleet.targets.read_1, &fleet.targets.read_2})
    target->behavior = target_behavior::kCloseKeptConnection;
  const auto arrivals = [&] {
    return fleet.targets.read_1.arrivals + fleet.targets.read_2.arrivals;
  };
  const int before = arrivals();
  constexpr int kCalls = 20;
  for (int i = 0; i < kCalls; ++i)
    CHECK(fleet.Request(0).status == 200);
  CHECK(arrivals() - before == kCalls);
}
