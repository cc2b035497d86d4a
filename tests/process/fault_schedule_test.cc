#include "fault_schedule.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "fleet.h"
#include "scenarios.h"
#include "support/environment_number.h"
#include "support/wait_until.h"

using namespace samphire;

namespace {

// The seed that CI runs; scripts/explore sets others.
constexpr std::uint32_t kSeed = 20261202;
constexpr std::size_t kFaults = 4;
// Load time per fault, enough for the responses after which it is cleared.
constexpr int kRunMsPerFault = 3000;

void PerformPlannedStop(fleet& system, std::size_t i) {
  const auto subject = system.settings(i).caller_address;
  system.RecordEvent(planned_stop{.time_us = HistoryNow(), .subject = subject});
  system.entry(i).Signal(SIGTERM);
  CHECK(system.entry(i).Wait() == 0);
  system.RecordEvent(
      planned_stop{.time_us = HistoryNow(), .subject = subject, .over = true});
}

void InjectFault(fleet& system, const scheduled_fault& fault) {
  switch (fault.kind) {
    case fault_kind::kKillEntry:
      system.entry(fault.entry).Kill();
      break;
    case fault_kind::kFreezeEntry:
      system.entry(fault.entry).Signal(SIGSTOP);
      break;
    case fault_kind::kStopEntry:
      PerformPlannedStop(system, fault.entry);
      break;
    case fault_kind::kPlatformDown:
      system.SetFaults(R"({"down":true})");
      break;
    case fault_kind::kPlatformSlow:
      system.SetFaults(R"({"slow_ms":300})");
      break;
    case fault_kind::kLoseResponses:
      system.SetFaults(R"({"lose_answers":10})");
      break;
  }
}

void ClearFault(fleet& system, const scheduled_fault& fault) {
  switch (fault.kind) {
    case fault_kind::kKillEntry:
    case fault_kind::kStopEntry:
      system.StartEntry(fault.entry);
      // Waits for the entry to be ready: a signal that arrives before the
      // program has installed its handlers would kill it, and the next fault is
      // meant for a running entry.
      CHECK(WaitUntil([&] { return system.Ready(fault.entry); }));
      break;
    case fault_kind::kFreezeEntry:
      system.entry(fault.entry).Signal(SIGCONT);
      break;
    default:
      system.SetFaults(R"({"down":false,"slow_ms":0,"lose_answers":0})");
  }
}

}  // namespace

// Random faults occur one after the other, some while the system is still
// recovering from the previous one. None may lose a response or run a claim
// twice.
TEST_CASE("process: faults drawn from a seed break no promise") {
  const auto seed = static_cast<std::uint32_t>(
      EnvironmentNumber("SAMPHIRE_FAULT_SEED", kSeed));
  const auto count = EnvironmentNumber("SAMPHIRE_FAULTS", kFaults);
  INFO("seed " << seed << ", " << count << " faults");
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(
      static_cast<int>(count) * kRunMsPerFault, static_cast<int>(seed % 1000)));
  for (const auto& fault :
       GenerateFaults(seed, count, system.plan().entries.size())) {
    INFO("fault " << static_cast<int>(fault.kind) << " at entry "
                  << fault.entry);
    InjectFault(system, fault);
    CHECK(system.WaitForCompleteResponses(fault.responses));
    ClearFault(system, fault);
  }
  CHECK(load->Wait() == 0);
  // Frozen entries can't refuse requests promptly; their callers time out. The
  // rule on prompt refusals is therefore excluded.
  CheckNoViolations(system.History(), {"refusal"});
}

TEST_CASE("a seed draws the same faults every time") {
  const auto first = GenerateFaults(7, 50, 4);
  const auto again = GenerateFaults(7, 50, 4);
  REQUIRE(first.size() == again.size());
  std::size_t kinds = 0;
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].kind == again[i].kind);
    CHECK(first[i].entry == again[i].entry);
    CHECK(first[i].responses == again[i].responses);
    CHECK(first[i].entry < 4);
    kinds |= std::size_t{1} << static_cast<int>(first[i].kind);
  }
  // All six kinds of faults occur.
  CHECK(kinds == 0b111111);
}
