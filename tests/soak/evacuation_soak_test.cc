#include <catch2/catch.hpp>

#include "soak/evacuation_soak.h"
#include "support/environment_number.h"

using namespace samphire;

// Guards against requests to an evacuated failure domain later than 2.5 s after
// the confirmation, beside silences, refusals and lost history of the store,
// cuts, kills, stops and reloads. SAMPHIRE_SOAK_SEED and SAMPHIRE_SOAK_COUNT
// choose the seeds, SAMPHIRE_SOAK_ENTRIES and SAMPHIRE_SOAK_ROUNDS the size.
TEST_CASE("evacuations are in force in time beside troubles of all kinds") {
  const auto first = EnvironmentNumber("SAMPHIRE_SOAK_SEED", 1);
  const auto count = EnvironmentNumber("SAMPHIRE_SOAK_COUNT", 2);
  for (auto seed = first; seed < first + count; ++seed) {
    evacuation_soak soak({.seed = seed,
                          .entries = static_cast<int>(
                              EnvironmentNumber("SAMPHIRE_SOAK_ENTRIES", 4)),
                          .rounds = static_cast<int>(
                              EnvironmentNumber("SAMPHIRE_SOAK_ROUNDS", 3))});
    const auto findings = soak.Run();
    for (const auto& each : findings)
      UNSCOPED_INFO(each.guarantee << ": " << each.detail);
    INFO("seed " << seed << ", " << soak.served() << " of " << soak.sent()
                 << " served, " << soak.judged() << " judged");
    CHECK(findings.empty());
    CHECK(soak.served() > 100);
    CHECK(soak.judged() > 100);
  }
}
