#include <catch2/catch.hpp>

#include "fleet.h"
#include "scenarios.h"
#include "support/relay.h"

using namespace samphire;

// The return direction of one entry's link to the platform is blocked: its
// writes arrive, but it gets no response to them. Any reservation that it was
// asked to make may therefore have been stored.
TEST_CASE("process: an entry that hears nothing back from the platform") {
  auto plan = PlanFleet(2);
  relay link("127.62.0.2", plan.platform_address);
  plan.entry_platform_addresses = {link.address()};
  fleet system(std::move(plan));
  const auto load = system.StartLoad(MixedScenario(4000));
  REQUIRE(system.WaitForCompleteResponses(50));
  link.SetBlocked(relay::direction::kReturn, true);
  CHECK(system.WaitForCompleteResponses(100));
  link.SetBlocked(relay::direction::kReturn, false);
  CHECK(system.WaitForCompleteResponses(50));
  CHECK(load->Wait() == 0);
  CheckNoViolations(system.History());
}
