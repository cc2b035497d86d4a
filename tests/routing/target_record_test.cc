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

// A burst fills a target's queue, and requests time out in it. It fails none of
// them; taken for a failing one it would lose all its keys to targets that have
// to learn them, and callers would wait three times as long there.
TEST_CASE("a target whose requests time out is not one that fails in part") {
  CHECK_FALSE(After(attempt_result::kTimedOut, 20).fails_in_part());
}

TEST_CASE("a target that fails what it runs fails in part") {
  CHECK(After(attempt_result::kTargetError, 20).fails_in_part());
  CHECK(After(attempt_result::kLost, 20).fails_in_part());
  CHECK_FALSE(After(attempt_result::kAnswered, 20).fails_in_part());
}
