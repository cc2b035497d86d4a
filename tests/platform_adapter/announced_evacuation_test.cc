#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/wire_text.h"
#include "support/cut_links.h"
#include "support/relay.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// Within this time an evacuation is to be in force at all entries.
constexpr auto kLimit = 2500ms;

// Three entries of two regions and targets in the failure domain "a-1". The
// last entry can be left with nothing but the datagrams of its peers.
struct evacuated_fleet {
  test_setup targets;
  relay store_link{"127.0.0.1", targets.stand_in.address()};
  cut_links peer_links;
  std::vector<platform_settings> settings;
  std::vector<std::unique_ptr<platform_entry>> entries;

  evacuated_fleet() {
    for (const char* name : {"a", "a", "b"}) {
      const bool last = settings.size() == 2;
      auto one = TestSettings(last ? store_link.address()
                                   : targets.stand_in.address());
      const std::string region = name;
      one.traffic.place = {"entry-" + std::to_string(settings.size()),
                           region + "-1", region};
      one.regions = {{"a-1", "a"}, {"b-1", "b"}};
      if (!settings.empty())
        one.traffic.seeds = {settings.front().traffic.peer_address};
      settings.push_back(one);
      if (!last)
        peer_links.AddTarget(one.traffic.peer_address);
      entries.push_back(last ? StartEntry(one, peer_links) : StartEntry(one));
    }
    for (const auto& one : settings)
      REQUIRE(Eventually([&] { return IsReady(one); }));
    // By then all entries know each other, also those of the other region.
    for (int i = 0; i < 3; ++i) {
      std::this_thread::sleep_for(1s);
      for (auto& entry : entries)
        entry->Tick();
    }
  }
  void LeaveDatagramsOnly() {
    store_link.SetBlocked(relay::direction::kForward, true);
    store_link.SetBlocked(relay::direction::kReturn, true);
    peer_links.CutAll(link_cut::kHang);
  }
  int StatusAt(std::size_t entry) const {
    return SendCall(settings[entry].traffic.caller_address, {}).status;
  }
  std::size_t ServingAfter(std::chrono::milliseconds limit,
                           int expected) const {
    const auto end = std::chrono::steady_clock::now() + limit;
    std::size_t differing = 0;
    do {
      differing = 0;
      for (std::size_t i = 0; i < entries.size(); ++i)
        differing += StatusAt(i) == expected ? 0 : 1;
      std::this_thread::sleep_for(20ms);
    } while (differing > 0 && std::chrono::steady_clock::now() < end);
    return differing;
  }
};

}  // namespace

// Guards against requests to an evacuated failure domain by an entry that
// neither the store nor the watchers answer, while others know of it.
TEST_CASE("an evacuation known to one entry is told to all") {
  evacuated_fleet fleet;
  REQUIRE(fleet.ServingAfter(kLimit, 200) == 0);
  fleet.LeaveDatagramsOnly();
  fleet.targets.stand_in.Write("evacuations/a-1", R"({"spec":{}})");
  CHECK(fleet.ServingAfter(kLimit, 503) == 0);
  fleet.targets.stand_in.Remove("evacuations/a-1");
  CHECK(fleet.ServingAfter(kLimit, 200) == 0);
}
