#include <catch2/catch.hpp>

#include "soak/stop_soak.h"
#include "support/environment_number.h"

using namespace samphire;

// Guards against requests that are lost around planned stops, in series and
// several at once, beside kills, reloads and odd entries in the store.
// SAMPHIRE_SOAK_SEED and SAMPHIRE_SOAK_COUNT choose the seeds,
// SAMPHIRE_SOAK_ENTRIES and SAMPHIRE_SOAK_CALLERS the size.
TEST_CASE("callers on kept connections lose nothing around stops") {
  const auto first = EnvironmentNumber("SAMPHIRE_SOAK_SEED", 1);
  const auto count = EnvironmentNumber("SAMPHIRE_SOAK_COUNT", 2);
  for (auto seed = first; seed < first + count; ++seed) {
    stop_soak soak({.seed = seed,
                    .entries = static_cast<int>(
                        EnvironmentNumber("SAMPHIRE_SOAK_ENTRIES", 3)),
                    .callers = static_cast<int>(
                        EnvironmentNumber("SAMPHIRE_SOAK_CALLERS", 36))});
    const auto findings = soak.Run();
    for (const auto& each : findings)
      UNSCOPED_INFO(each.guarantee << ": " << each.detail);
    INFO("seed " << seed << ", " << soak.calls() << " calls, " << soak.stops()
                 << " stops");
    CHECK(findings.empty());
    CHECK(soak.calls() > 100);
    CHECK(soak.stops() > 0);
  }
}
