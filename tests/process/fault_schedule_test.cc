#include "fault_schedule.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <string>

#include "fleet.h"
#include "scenarios.h"
#include "support/wait_until.h"

using namespace samphire;

namespace {

// scripts/explore sets others; CI runs this one.
constexpr std::uint32_t kSeed = 20261202;
constexpr std::size_t kFaults = 4;
// Long enough for all answers that the faults wait for.
constexpr int kRunMsPerFault = 3000;

std::size_t FromEnvironment(const char* name, std::size_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoul(text, nullptr, 10);
}

void StopAsPlanned(fleet& system, std::size_t i) {
  const auto subject = system.settings(i).caller_address;
  system.Note(planned_stop{.time_us = HistoryNow(), .subject = subject});
  system.entry(i).Signal(SIGTERM);
  CHECK(system.entry(i).Wait() == 0);
  system.Note(
      planned_stop{.time_us = HistoryNow(), .subject = subject, .over = true});
}

void Begin(fleet& system, const scheduled_fault& fault) {
  switch (fault.kind) {
    case fault_kind::kKillEntry:
      system.entry(fault.entry).Kill();
      break;
    case fault_kind::kFreezeEntry:
      system.entry(fault.entry).Signal(SIGSTOP);
      break;
    case fault_kind::kStopEntry:
      StopAsPlanned(system, fault.entry);
      break;
    case fault_kind::kPlatformDown:
      system.SetFaults(R"({"down":true})");
      break;
    case fault_kind::kPlatformSlow:
      system.SetFaults(R"({"slow_ms":300})");
      break;
    case fault_kind::kLoseAnswers:
      system.SetFaults(R"({"lose_answers":10})");
      break;
  }
}

void Mend(fleet& system, const scheduled_fault& fault) {
  switch (fault.kind) {
    case fault_kind::kKillEntry:
    case fault_kind::kStopEntry:
      system.StartEntry(fault.entry);
      // A signal that comes before a program's first line ends any program;
      // the next fault is for one that runs.
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

// Faults come at any moment, one after the other, some while the one before is
// still being recovered from. None may cost or double anything.
TEST_CASE("process: faults drawn from a seed break no promise") {
  const auto seed =
      static_cast<std::uint32_t>(FromEnvironment("SAMPHIRE_FAULT_SEED", kSeed));
  const auto count = FromEnvironment("SAMPHIRE_FAULTS", kFaults);
  INFO("seed " << seed << ", " << count << " faults");
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(
      static_cast<int>(count) * kRunMsPerFault, static_cast<int>(seed % 1000)));
  for (const auto& fault :
       DrawFaults(seed, count, system.plan().entries.size())) {
    INFO("fault " << static_cast<int>(fault.kind) << " at entry "
                  << fault.entry);
    Begin(system, fault);
    CHECK(system.MoreWhole(fault.answers));
    Mend(system, fault);
  }
  CHECK(load->Wait() == 0);
  // Frozen entries refuse nobody at once; their callers hang up by themselves.
  CheckClean(system.History(), {"refusal"});
}

TEST_CASE("a seed draws the same faults every time") {
  const auto first = DrawFaults(7, 50, 4);
  const auto again = DrawFaults(7, 50, 4);
  REQUIRE(first.size() == again.size());
  std::size_t kinds = 0;
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(first[i].kind == again[i].kind);
    CHECK(first[i].entry == again[i].entry);
    CHECK(first[i].answers == again[i].answers);
    CHECK(first[i].entry < 4);
    kinds |= std::size_t{1} << static_cast<int>(first[i].kind);
  }
  // All six kinds occur.
  CHECK(kinds == 0b111111);
}
