#include "platform_adapter/entry_ways.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "platform_adapter/raw_answer.h"
#include "platform_adapter/wire_text.h"

namespace samphire::platform {

using namespace std::chrono_literals;

namespace {

// Time after which an entry no longer takes an earlier connection for a proof
// that its links work.
constexpr auto kQuiet = 900ms;

void ReplaceWriters(test_setup& setup,
                    const std::string& id,
                    const std::string& address) {
  for (const auto* other : {&setup.write_1, &setup.write_2})
    setup.stand_in.Remove("servers/" + other->id());
  setup.stand_in.Write("servers/" + id, TargetObject(address, "writes"));
}

}  // namespace

direct_entry::direct_entry(const std::string& target_id,
                           const std::string& target_address) {
  ReplaceWriters(setup, target_id, target_address);
  setup.StartReady();
}

relaying_entry::relaying_entry(const std::string& target_id,
                               const std::string& target_address,
                               const std::string& target_stamp) {
  links.front()->AddTarget(target_address);
  ReplaceWriters(targets, target_id, target_address);
  REQUIRE(Eventually([&] {
    return Ask(address(), "/write/sound", "1").answer.stamp == target_stamp;
  }));
  links.front()->CutAll(link_cut::kRefuseNew);
  std::this_thread::sleep_for(kQuiet);
}

}  // namespace samphire::platform
