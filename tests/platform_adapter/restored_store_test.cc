#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/fleet_fixture.h"
#include "platform_adapter/wire_text.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// Bound on the time until a confirmed change is in force at all entries.
constexpr auto kApplyTime = 2500ms;
// Writes that the store loses; what is written later gets lower revisions.
constexpr int kLostWrites = 40;

struct restored_setup : fleet_setup {
  restored_setup() { targets.stand_in.TakeCopy(); }

  // Writes a configuration that serves `path`.
  void WriteConfiguration(const std::string& version, const std::string& path) {
    targets.stand_in.Write("config/main",
                           Replaced(ManifestObject(version), "/read/", path));
  }
  void WriteTarget(const wire_target& target,
                   const std::string& state,
                   int seq) {
    targets.stand_in.Write(
        "servers/" + target.id(),
        Replaced(TargetObject(target.address(), "reads", state), R"("seq":4)",
                 R"("seq":)" + std::to_string(seq)));
  }
  // Writes what the store is going to lose, and gives entries time to see it.
  void WriteLost(int count) {
    for (int i = 0; i < count; ++i)
      targets.stand_in.Write("servers/i-lost",
                             R"({"spec":{"n":)" + std::to_string(i) + "}}");
    std::this_thread::sleep_for(1s);
  }
  // Takes the store away for a moment and brings it back from the copy.
  void Restore() {
    targets.stand_in.refuse_with = 503;
    std::this_thread::sleep_for(300ms);
    targets.stand_in.RestoreCopy();
    targets.stand_in.refuse_with = 0;
  }
  int StatusAt(std::size_t entry, const std::string& path) const {
    return SendCall(settings[entry].traffic.caller_address, {.path = path})
        .status;
  }
  // Number of entries that serve the path within the bound.
  std::size_t ServedInTime(const std::string& path) const {
    const auto end = std::chrono::steady_clock::now() + kApplyTime;
    std::size_t served = 0;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      bool serves = StatusAt(i, path) == 200;
      while (!serves && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(20ms);
        serves = StatusAt(i, path) == 200;
      }
      served += serves ? 1 : 0;
    }
    return served;
  }
  // Whether the target gets requests of any entry.
  bool GetsRequests(const wire_target& target) const {
    const int before = target.arrivals;
    for (std::size_t i = 0; i < 4 * entries.size(); ++i)
      SendCall(settings[i % entries.size()].traffic.caller_address,
               {.headers = {}});
    return target.arrivals != before;
  }
};

}  // namespace

// Guards against entries that take no change of a restored store, since its
// revisions are lower than those that they have seen.
TEST_CASE("a configuration confirmed by a restored store is in force in time") {
  restored_setup fleet;
  fleet.WriteLost(kLostWrites);
  fleet.Restore();
  fleet.WriteConfiguration("00000005", "/new/");
  CHECK(fleet.ServedInTime("/new/x") == fleet.entries.size());
}

// Guards against the same for a target that says that it leaves.
TEST_CASE(
    "a target that leaves after a restore of the store gets no requests") {
  restored_setup fleet;
  fleet.WriteLost(kLostWrites);
  fleet.Restore();
  auto& leaving = fleet.targets.TargetWithStamp(fleet.Request(0).stamp);
  fleet.WriteTarget(leaving, "draining", 5);
  std::this_thread::sleep_for(kApplyTime);
  CHECK_FALSE(fleet.GetsRequests(leaving));
}

// Guards against taking a revision that the restored store gives out again for
// the one that was seen before: the change under it would never be in force.
TEST_CASE("a change under a revision given out again is in force in time") {
  restored_setup fleet;
  fleet.WriteConfiguration("00000004", "/lost/");
  REQUIRE(fleet.ServedInTime("/lost/x") == fleet.entries.size());
  fleet.Restore();
  fleet.WriteConfiguration("00000005", "/new/");
  CHECK(fleet.ServedInTime("/new/x") == fleet.entries.size());
}

// Guards against sending work to a target again that is known to leave, since
// the store's copy is older than its statement.
TEST_CASE("a restored store does not undo that a target leaves") {
  restored_setup fleet;
  auto& leaving = fleet.targets.TargetWithStamp(fleet.Request(0).stamp);
  fleet.WriteTarget(leaving, "draining", 5);
  std::this_thread::sleep_for(kApplyTime);
  REQUIRE_FALSE(fleet.GetsRequests(leaving));
  fleet.Restore();
  const auto end = std::chrono::steady_clock::now() + 4s;
  while (std::chrono::steady_clock::now() < end) {
    CHECK_FALSE(fleet.GetsRequests(leaving));
    std::this_thread::sleep_for(200ms);
  }
}

// Guards against an older configuration, which the store lists until the
// operator has written again what was lost.
TEST_CASE("a restored store does not undo a configuration") {
  restored_setup fleet;
  fleet.WriteConfiguration("00000004", "/kept/");
  REQUIRE(fleet.ServedInTime("/kept/x") == fleet.entries.size());
  fleet.Restore();
  const auto end = std::chrono::steady_clock::now() + 3s;
  while (std::chrono::steady_clock::now() < end) {
    for (std::size_t i = 0; i < fleet.entries.size(); ++i)
      CHECK(fleet.StatusAt(i, "/kept/x") == 200);
    std::this_thread::sleep_for(100ms);
  }
}

// Guards against entries that list a restored store over and over.
TEST_CASE("a restored store is listed a few times") {
  restored_setup fleet;
  fleet.WriteLost(kLostWrites);
  auto& calls = fleet.targets.stand_in.calls;
  const int before = calls;
  std::this_thread::sleep_for(3s);
  const int usual = calls - before;
  fleet.Restore();
  std::this_thread::sleep_for(1s);
  const int after = calls;
  std::this_thread::sleep_for(3s);
  CHECK(calls - after <= 2 * usual);
}

// Guards against losing track when the store is restored again and again.
TEST_CASE("changes are in force in time after each of several restores") {
  restored_setup fleet;
  for (int i = 0; i < 3; ++i) {
    fleet.WriteLost(kLostWrites);
    fleet.Restore();
    const auto path = "/new-" + std::to_string(i) + "/";
    fleet.WriteConfiguration("0000001" + std::to_string(i), path);
    CHECK(fleet.ServedInTime(path + "x") == fleet.entries.size());
  }
}
