#include <catch2/catch.hpp>

#include "soak/soak_environment.h"
#include "soak/stop_soak.h"

using namespace samphire;

// Guards against requests that are lost around planned stops, in series and
// several at once, beside kills, reloads and odd entries in the store.
// SAMPHIRE_SOAK_SEED and SAMPHIRE_SOAK_COUNT choose the seeds,
// SAMPHIRE_SOAK_ENTRIES and SAMPHIRE_SOAK_CALLERS the size.
TEST_CASE("callers on kept connections lose nothing around stops") {
  const int first = ReadSoakEnvironment("SAMPHIRE_SOAK_SEED", 1);
  const int count = ReadSoakEnvironment("SAMPHIRE_SOAK_COUNT", 2);
  for (int seed = first; seed < first + count; ++seed) {
    stop_soak soak(
        {.seed = static_cast<std::uint64_t>(seed),
         .entries = ReadSoakEnvironment("SAMPHIRE_SOAK_ENTRIES", 3),
         .callers = ReadSoakEnvironment("SAMPHIRE_SOAK_CALLERS", 36)});
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
