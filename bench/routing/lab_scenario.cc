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
  };
}

}  // namespace samphire
