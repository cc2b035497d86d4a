#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform_adapter/entry_fixture.h"
#include "support/relay.h"
#include "support/wait_until.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

// Guards against an entry that reaches neither the store nor any other entry,
// and counts as ready for ever by what was evacuated before.
TEST_CASE("an entry without store and peers ceases to be ready") {
  test_setup targets;
  relay store_link("127.0.0.1", targets.stand_in.address());
  std::vector<platform_settings> settings;
  std::vector<std::unique_ptr<platform_entry>> entries;
  for (const char* name : {"entry-1", "entry-2"}) {
    auto one = TestSettings(store_link.address());
    one.traffic.place.instance = name;
    if (!settings.empty())
      one.traffic.seeds = {settings.front().traffic.peer_address};
    settings.push_back(one);
    entries.push_back(StartEntry(one));
  }
  const auto tick = [&] {
    for (auto& entry : entries)
      entry->Tick();
  };
  for (const auto& one : settings)
    REQUIRE(Eventually([&] { return IsReady(one); }));
  std::this_thread::sleep_for(1s);
  store_link.SetBlocked(relay::direction::kReturn, true);
  std::this_thread::sleep_for(12s);
  tick();
  CHECK(IsReady(settings[0]));
  entries.pop_back();
  CHECK(WaitUntil(
      [&] {
        tick();
        return !IsReady(settings[0]);
      },
      15s));
  store_link.SetBlocked(relay::direction::kReturn, false);
  CHECK(WaitUntil(
      [&] {
        tick();
        return IsReady(settings[0]);
      },
      5s));
}
