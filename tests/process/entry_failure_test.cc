#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <string>
#include <variant>

#include "fleet.h"
#include "scenarios.h"
#include "support/wait_until.h"

using namespace samphire;

namespace {

// Length of the load.
constexpr int kRunMs = 4000;

// Returns the entry that has received the most requests. Callers are assigned
// to entries by hashing, so with few callers an entry may get no requests at
// all, and stopping that one would test nothing.
std::size_t BusiestEntry(const fleet& system) {
  std::map<std::string, int> requests;
  for (const auto& event : system.History()) {
    if (const auto* sent = std::get_if<request_sent>(&event))
      ++requests[sent->entry];
  }
  std::size_t busiest = 0;
  for (std::size_t i = 1; i < 4; ++i) {
    if (requests[system.settings(i).caller_address] >
        requests[system.settings(busiest).caller_address])
      busiest = i;
  }
  return busiest;
}

}  // namespace

TEST_CASE("process: a fleet without faults keeps every promise") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  CHECK(load->Wait() == 0);
  const auto history = system.History();
  CheckNoViolations(history);
  for (const auto* rule :
       {"own-answer", "at-most-once", "slots", "configuration", "fresh-level"})
    CHECK(RuleApplied(history, rule));
}

// An instance loses power. Its callers get no response and retry at the next
// entry while the claim may still be running, which must not run it twice.
TEST_CASE("process: an entry killed under load") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.WaitForCompleteResponses(50));
  system.entry(1).Kill();
  system.SetInstanceState(1, "gone");
  CHECK(system.WaitForCompleteResponses(100));
  CHECK(load->Wait() == 0);
  CheckNoViolations(system.History());
}

// An instance is frozen for longer than any lease and then continues. It must
// not act on the leases that it held before.
TEST_CASE("process: an entry frozen past every lease") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.WaitForCompleteResponses(50));
  system.entry(0).Signal(SIGSTOP);
  // At 100 level requests per second this takes longer than a loan (250 ms).
  CHECK(system.WaitForCompleteResponses(100));
  system.entry(0).Signal(SIGCONT);
  CHECK(system.WaitForCompleteResponses(50));
  CHECK(load->Wait() == 0);
  // A frozen process can't refuse requests promptly; its callers time out. The
  // rule on prompt refusals is therefore excluded.
  CheckNoViolations(system.History(), {"refusal"});
}

// An entry is stopped for an upgrade while archives are being downloaded. The
// downloads must complete.
TEST_CASE("process: a planned stop of an entry cuts nothing") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.WaitForCompleteResponses(50));
  const auto busiest = BusiestEntry(system);
  const auto subject = system.settings(busiest).caller_address;
  system.RecordEvent(planned_stop{.time_us = HistoryNow(), .subject = subject});
  system.entry(busiest).Signal(SIGTERM);
  CHECK(system.entry(busiest).Wait() == 0);
  system.RecordEvent(
      planned_stop{.time_us = HistoryNow(), .subject = subject, .over = true});
  CHECK(load->Wait() == 0);
  const auto history = system.History();
  CheckNoViolations(history);
  CHECK(RuleApplied(history, "planned-stop"));
}

// A region loses power: its entries and targets fail at the same time. Its
// callers shift to the other region, within the shift cap.
TEST_CASE("process: a region goes dark") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.WaitForCompleteResponses(50));
  system.entry(2).Kill();
  system.entry(3).Kill();
  system.targets("west").Kill();
  system.SetInstanceState(2, "gone");
  system.SetInstanceState(3, "gone");
  CHECK(system.WaitForCompleteResponses(50));
  CHECK(load->Wait() == 0);
  const auto history = system.History();
  CheckNoViolations(history);
  CHECK(RuleApplied(history, "shift-cap"));
}
