#include "routing/target_pauses.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart{std::chrono::hours(1)};

live_target Target(std::int64_t started_ms) {
  live_target target;
  target.id = "t";
  target.started_ms = started_ms;
  return target;
}

}  // namespace

TEST_CASE("a pause is extended but not cut short") {
  target_pauses pauses;
  CHECK(pauses.PausedUntil(Target(1)) < kStart);
  pauses.Pause(Target(1), kStart + 3s);
  pauses.Pause(Target(1), kStart + 1s);
  CHECK(pauses.PausedUntil(Target(1)) == kStart + 3s);
  CHECK(pauses.HasAny(kStart));
  CHECK_FALSE(pauses.HasAny(kStart + 3s));
}

// Guards against a target that restarts under the same id and gets no requests
// because of what its predecessor had asked for.
TEST_CASE("a pause ends with the target's process") {
  target_pauses pauses;
  pauses.Pause(Target(1), kStart + 3s);
  CHECK(pauses.PausedUntil(Target(2)) < kStart);
  pauses.Pause(Target(2), kStart + 1s);
  CHECK(pauses.PausedUntil(Target(2)) == kStart + 1s);
}
