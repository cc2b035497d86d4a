#include "routing/sim_scenario.h"

namespace samphire {

namespace {

// Readings account for most of the requests, uploads for most of the bytes.
std::vector<sim_route> Routes(double load) {
  return {{.name = "readings", .rate = 75 * load},
          {.name = "uploads",
           .rate = 10 * load,
           .objects = 24,
           .cold_work = milliseconds{760},
           .objective = milliseconds{600},
           .deadline = milliseconds{4000},
           .idempotent = false,
           .request_bytes = 60'000}};
}

sim_scenario Make(std::string name,
                  double load,
                  std::vector<sim_fault> faults) {
  sim_scenario scenario;
  scenario.name = std::move(name);
  scenario.routes = Routes(load);
  scenario.faults = std::move(faults);
  return scenario;
}

// Many entries with a few callers each: an entry sends to a given target once
// in half a minute, and there are one or two objects per target.
sim_scenario MakeFleet(std::string name, std::vector<sim_fault> faults) {
  sim_scenario scenario;
  scenario.name = std::move(name);
  scenario.targets = {{86, 86, 86}, {103, 103, 103}, {21, 21, 21}};
  scenario.entries_per_domain = 22;
  scenario.slots = 4;
  scenario.queue = 12;
  scenario.cached_objects = 9;
  scenario.warm_work_share = 0.25;
  scenario.between_domains = std::chrono::microseconds(1400);
  scenario.between_regions = std::chrono::milliseconds(20);
  scenario.wave_amplitude = 0.55;
  scenario.routes = {{.name = "readings",
                      .rate = 438,
                      .objects = 303,
                      .cold_work = milliseconds{2352},
                      .objective = milliseconds{1200},
                      .deadline = milliseconds{10'000},
                      .answer_bytes = 400}};
  scenario.faults = std::move(faults);
  return scenario;
}

}  // namespace

std::vector<sim_scenario> SimScenarios() {
  using enum sim_fault_kind;
  return {
      Make("calm", 0.7, {}),
      Make("cold-start", 1.5, {}),
      Make("burst", 1, {{.kind = kBurst, .strength = 2}}),
      Make("slow-targets", 1, {{.kind = kSlowTargets, .strength = 5}}),
      Make("crash", 1, {{.kind = kCrash}}),
      Make("dark", 1, {{.kind = kPowerLoss}}),
      Make("failing", 1, {{.kind = kFailing, .strength = 0.6}}),
      Make(
          "failing-long", 1,
          {{.kind = kFailing, .lasts = milliseconds{20'000}, .strength = 0.6}}),
      Make("dark-long", 1,
           {{.kind = kPowerLoss, .lasts = milliseconds{20'000}}}),
      Make("dark-most", 0.5,
           {{.kind = kPowerLoss, .lasts = milliseconds{20'000}, .share = 0.6}}),
      Make("slow-long", 1,
           {{.kind = kSlowTargets,
             .lasts = milliseconds{20'000},
             .strength = 5}}),
      Make("shedding", 1, {{.kind = kShedding, .share = 0.3, .strength = 0.5}}),
      Make("slow-and-burst", 1,
           {{.kind = kSlowTargets, .strength = 5},
            {.kind = kBurst,
             .starts_at = milliseconds{11'000},
             .strength = 1.7}}),
      MakeFleet("fleet", {}),
      MakeFleet("fleet-crash", {{.kind = kCrash}}),
      MakeFleet("fleet-slow", {{.kind = kSlowTargets, .strength = 5}}),
  };
}

}  // namespace samphire
