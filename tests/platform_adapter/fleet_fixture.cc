#include "platform_adapter/fleet_fixture.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace samphire::platform {

using namespace std::chrono_literals;

fleet_setup::fleet_setup(std::size_t count) {
  for (std::size_t i = 1; i <= count; ++i) {
    auto one = TestSettings(targets.stand_in.address());
    const std::string region = i == count ? "b" : "a";
    one.traffic.place = {"entry-" + std::to_string(i), region + "-1", region};
    one.regions = {{"a-1", "a"}, {"b-1", "b"}};
    one.traffic.min_fleet_size = 2;
    if (!settings.empty())
      one.traffic.seeds = {settings.front().traffic.peer_address};
    settings.push_back(one);
    links.push_back(std::make_unique<cut_links>());
    for (const auto* target :
         {&targets.read_1, &targets.read_2, &targets.write_1, &targets.write_2})
      links.back()->AddTarget(target->address());
    entries.push_back(StartEntry(one, *links.back()));
  }
  for (const auto& one : settings)
    REQUIRE(Eventually([&] { return IsReady(one); }));
  // By then all entries know each other, also those of the other region.
  std::this_thread::sleep_for(3s);
}

void ticking_fleet::Tick() {
  std::lock_guard guard(entries_lock);
  for (auto& entry : entries)
    entry->Tick();
}

}  // namespace samphire::platform
