#include "routing/lab_scenario.h"

namespace samphire {

namespace {

// Readings make most of the requests, uploads most of the bytes.
std::vector<lab_route> Routes(double load) {
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

lab_scenario Make(std::string name,
                  double load,
                  std::vector<lab_trouble> troubles) {
  lab_scenario made;
  made.name = std::move(name);
  made.routes = Routes(load);
  made.troubles = std::move(troubles);
  return made;
}

// Many entries with a few callers each: an entry meets a target once in half a
// minute, and a target has one or two objects.
lab_scenario MakeFleet(std::string name, std::vector<lab_trouble> troubles) {
  lab_scenario made;
  made.name = std::move(name);
  made.targets = {{86, 86, 86}, {103, 103, 103}, {21, 21, 21}};
  made.entries_per_domain = 22;
  made.slots = 4;
  made.queue = 12;
  made.memory = 9;
  made.warm_share = 0.25;
  made.between_domains = std::chrono::microseconds(1400);
  made.between_regions = std::chrono::milliseconds(20);
  made.wave_swing = 0.55;
  made.routes = {{.name = "readings",
                  .rate = 438,
                  .objects = 303,
                  .cold_work = milliseconds{2352},
                  .objective = milliseconds{1200},
                  .deadline = milliseconds{10'000},
                  .answer_bytes = 400}};
  made.troubles = std::move(troubles);
  return made;
}

}  // namespace

std::vector<lab_scenario> LabScenarios() {
  using enum lab_trouble_kind;
  return {
      Make("calm", 0.7, {}),
      Make("cold-start", 1.5, {}),
      Make("burst", 1, {{.kind = kBurst, .strength = 2}}),
      Make("slow-targets", 1, {{.kind = kSlowTargets, .strength = 5}}),
      Make("crash", 1, {{.kind = kCrash}}),
      Make("dark", 1, {{.kind = kDark}}),
      Make("failing", 1, {{.kind = kFailing, .strength = 0.6}}),
      Make(
          "failing-long", 1,
          {{.kind = kFailing, .lasts = milliseconds{20'000}, .strength = 0.6}}),
      Make("dark-long", 1, {{.kind = kDark, .lasts = milliseconds{20'000}}}),
      Make("dark-most", 0.5,
           {{.kind = kDark, .lasts = milliseconds{20'000}, .share = 0.6}}),
      Make("slow-long", 1,
           {{.kind = kSlowTargets,
             .lasts = milliseconds{20'000},
             .strength = 5}}),
      Make("shedding", 1, {{.kind = kShedding, .share = 0.3, .strength = 0.5}}),
      Make("slow-and-burst", 1,
           {{.kind = kSlowTargets, .strength = 5},
            {.kind = kBurst, .at = milliseconds{11'000}, .strength = 1.7}}),
      MakeFleet("fleet", {}),
      MakeFleet("fleet-crash", {{.kind = kCrash}}),
      MakeFleet("fleet-slow", {{.kind = kSlowTargets, .strength = 5}}),
  };
}

}  // namespace samphire
