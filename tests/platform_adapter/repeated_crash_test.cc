#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/fleet_fixture.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

const std::string kCrasher = "/read/crasher";

// A fleet and two targets that one request crashes. They are back at once.
struct crash_setup : ticking_fleet {
  crash_setup() {
    for (auto* target : {&targets.read_1, &targets.read_2})
      target->crash_path = kCrasher;
  }

  void Restart(std::size_t entry) {
    std::lock_guard guard(entries_lock);
    entries[entry].reset();
    entries[entry] = StartEntry(settings[entry]);
  }

  call_response Read(std::size_t entry, const std::string& path) const {
    return SendCall(settings[entry].traffic.caller_address, {.path = path});
  }
  int Crashes() const {
    return targets.read_1.crashes + targets.read_2.crashes;
  }
  // Sends the request that crashes targets to one entry, and waits until that
  // entry uses the targets again.
  void SendCrasher(std::size_t entry) const {
    Read(entry, kCrasher);
    REQUIRE(Eventually([&] { return Read(entry, "/read/x").status == 200; }));
  }
};

// Two crashes convict a request; copies at other entries may be running then.
constexpr int kMaxCrashes = 4;

}  // namespace

// Guards against one request that ends target after target, since its caller
// sends it again, at any entry: a service is down for as long as that lasts.
TEST_CASE("a request that crashes targets is stopped at all entries") {
  crash_setup fleet;
  for (std::size_t i = 0; i < 16; ++i)
    fleet.SendCrasher(i % fleet.entries.size());
  CHECK(fleet.Crashes() <= kMaxCrashes);
  for (std::size_t entry = 0; entry < fleet.entries.size(); ++entry) {
    const auto refused = fleet.Read(entry, kCrasher);
    CHECK(refused.status == 503);
    CHECK_FALSE(refused.retry_after.empty());
    CHECK(fleet.Read(entry, "/read/y").status == 200);
  }
}

// Guards against an entry that forgets with its process what crashes targets.
TEST_CASE("a restarted entry knows which requests crash targets") {
  crash_setup fleet;
  for (std::size_t i = 0; i < 4; ++i)
    fleet.SendCrasher(i);
  const int before = fleet.Crashes();
  fleet.Restart(0);
  REQUIRE(Eventually([&] { return IsReady(fleet.settings[0]); }));
  std::this_thread::sleep_for(5s);
  fleet.SendCrasher(0);
  CHECK(fleet.Crashes() == before);
}

// Guards against refusing requests that ran on a target when another one
// crashed it.
TEST_CASE("requests lost beside one that crashes targets are still served") {
  crash_setup fleet;
  for (auto* target : {&fleet.targets.read_1, &fleet.targets.read_2})
    target->work_ms = 300;
  std::jthread crasher([&](const std::stop_token& stop) {
    for (std::size_t i = 0; !stop.stop_requested(); ++i) {
      fleet.Read(i % fleet.entries.size(), kCrasher);
      std::this_thread::sleep_for(50ms);
    }
  });
  for (int i = 0; i < 10; ++i)
    fleet.Read(0, "/read/beside");
  crasher.request_stop();
  crasher.join();
  for (std::size_t entry = 0; entry < fleet.entries.size(); ++entry) {
    CHECK(Eventually(
        [&] { return fleet.Read(entry, "/read/beside").status == 200; }));
  }
  CHECK(fleet.Crashes() > 0);
}
