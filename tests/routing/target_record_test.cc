#include "routing/target_record.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart{1h};

target_record After(attempt_result result, int times) {
  target_record record;
  for (int i = 0; i < times; ++i) {
    record.Started(kStart);
    record.Ended(7, {.result = result}, 0, nullptr, kStart);
  }
  return record;
}

}  // namespace

// Guards against treating timeouts in a full queue as failures. After a burst,
// the target would lose all its keys to targets that have to load them, and
// callers would wait three times as long there.
TEST_CASE("timeouts do not mark a target as partially failing") {
  CHECK_FALSE(After(attempt_result::kTimedOut, 20).fails_partially());
}

TEST_CASE("errors and lost responses mark a target as partially failing") {
  CHECK(After(attempt_result::kTargetError, 20).fails_partially());
  CHECK(After(attempt_result::kLost, 20).fails_partially());
  CHECK_FALSE(After(attempt_result::kAnswered, 20).fails_partially());
}
