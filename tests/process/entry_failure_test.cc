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

constexpr int kRunMs = 4000;

// Callers spread over the entries by hashing, and few of them may leave one
// entry without work; a stop of that one would prove nothing.
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
  CheckClean(history);
  for (const auto* rule :
       {"own-answer", "at-most-once", "slots", "configuration", "fresh-level"})
    CHECK(Judged(history, rule));
}

// An instance loses power. Whoever had a request there hears nothing and asks
// the next entry, while the claim may be running still.
TEST_CASE("process: an entry killed under load") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.MoreWhole(50));
  system.entry(1).Kill();
  system.SetInstance(1, "gone");
  CHECK(system.MoreWhole(100));
  CHECK(load->Wait() == 0);
  CheckClean(system.History());
}

// An instance is frozen for longer than any lease and goes on as if nothing
// had been. It must not use what it held before.
TEST_CASE("process: an entry frozen past every lease") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.MoreWhole(50));
  system.entry(0).Signal(SIGSTOP);
  // At 100 levels a second this takes longer than loans (250 ms) last.
  CHECK(system.MoreWhole(100));
  system.entry(0).Signal(SIGCONT);
  CHECK(system.MoreWhole(50));
  CHECK(load->Wait() == 0);
  // A frozen process refuses nobody at once; its callers hang up by themselves.
  CheckClean(system.History(), {"refusal"});
}

// An entry is replaced for an upgrade while archives are being downloaded.
TEST_CASE("process: a planned stop of an entry cuts nothing") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.MoreWhole(50));
  const auto busiest = BusiestEntry(system);
  const auto subject = system.settings(busiest).caller_address;
  system.Note(planned_stop{.time_us = HistoryNow(), .subject = subject});
  system.entry(busiest).Signal(SIGTERM);
  CHECK(system.entry(busiest).Wait() == 0);
  system.Note(
      planned_stop{.time_us = HistoryNow(), .subject = subject, .over = true});
  CHECK(load->Wait() == 0);
  const auto history = system.History();
  CheckClean(history);
  CHECK(Judged(history, "planned-stop"));
}

// A region loses power: its entries and its targets are gone at once. Its
// callers go elsewhere, and no more of them than the cap lets through.
TEST_CASE("process: a region goes dark") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.MoreWhole(50));
  system.entry(2).Kill();
  system.entry(3).Kill();
  system.targets("west").Kill();
  system.SetInstance(2, "gone");
  system.SetInstance(3, "gone");
  CHECK(system.MoreWhole(50));
  CHECK(load->Wait() == 0);
  const auto history = system.History();
  CheckClean(history);
  CHECK(Judged(history, "shift-cap"));
}
