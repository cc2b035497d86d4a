#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

#include "soak/soak_world.h"

using namespace samphire;

namespace {

// How long faults strike in one run.
constexpr std::chrono::seconds kTime{6};

// scripts/soak sets these to try fresh seeds.
long FromEnvironment(const char* name, long otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atol(text);
}

void RunSeed(std::uint64_t seed) {
  soak_world world(seed);
  const auto findings = world.Run(kTime);
  for (const auto& each : findings)
    UNSCOPED_INFO(each.promise << ": " << each.detail);
  INFO("seed " << seed << ", " << world.served() << " of " << world.asked()
               << " answered");
  CHECK(findings.empty());
  CHECK(world.served() > 0);
}

}  // namespace

// Entries are stopped, frozen, killed and restarted, links are delayed, cut one
// way, silenced and reset, targets fail and leave, the store goes away and
// forgets, all at random and at once. A user notices a claim that ran twice,
// somebody else's answer, a request that was called not run and had, or an
// entry that does not come back.
TEST_CASE("promises hold while faults of all kinds strike at random") {
  const auto first = FromEnvironment("SAMPHIRE_SOAK_SEED", 1);
  const auto count = FromEnvironment("SAMPHIRE_SOAK_COUNT", 3);
  for (long i = 0; i < count; ++i)
    RunSeed(static_cast<std::uint64_t>(first + i));
}
