#include <catch2/catch.hpp>

#include "fleet.h"
#include "scenarios.h"
#include "support/relay.h"

using namespace samphire;

// The way back from the platform is cut for one entry: its writes arrive, but
// it never hears of them. Whatever it was told to reserve may be reserved.
TEST_CASE("process: an entry that hears nothing back from the platform") {
  auto plan = PlanFleet(2);
  relay link("127.62.0.2", plan.platform_address);
  plan.entry_platform_addresses = {link.address()};
  fleet system(std::move(plan));
  const auto load = system.StartLoad(MixedScenario(4000));
  REQUIRE(system.MoreWhole(50));
  link.SetCut(relay::way::kBack, true);
  CHECK(system.MoreWhole(100));
  link.SetCut(relay::way::kBack, false);
  CHECK(system.MoreWhole(50));
  CHECK(load->Wait() == 0);
  CheckClean(system.History());
}
