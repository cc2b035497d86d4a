#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "platform_adapter/entry_fixture.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

// Guards against an entry that starts with a listing that is some seconds old,
// and sends requests to a failure domain that has been evacuated since.
TEST_CASE("an entry that starts knows the latest evacuation when it serves") {
  test_setup targets;
  const auto before = targets.stand_in.MakeCopy();
  targets.stand_in.page_source = [&](bool may_be_stale) {
    return may_be_stale ? &before : nullptr;
  };
  targets.stand_in.Write("evacuations/a-1", R"({"spec":{}})");
  auto settings = TestSettings(targets.stand_in.address());
  settings.traffic.discovery_time = 2000ms;
  const auto entry = StartEntry(settings);
  REQUIRE(Eventually([&] { return IsReady(settings); }));
  CHECK(SendCall(settings.traffic.caller_address, {}).status == 503);
}
