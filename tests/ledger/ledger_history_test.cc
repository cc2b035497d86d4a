#include <catch2/catch.hpp>

#include "ledger/ledger_history.h"

using namespace samphire;

namespace {

constexpr int kSeeds = 300;
constexpr int kSteps = 60;

// Returns for how many of the seeds the history has violations.
int CountViolatingSeeds(faulty_store::disabled_guard disabled) {
  int violating = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    ledger_history history(static_cast<std::uint64_t>(seed), disabled);
    history.Run(kSteps);
    violating += history.violations().empty() ? 0 : 1;
  }
  return violating;
}

}  // namespace

// Entries crash, pause beyond their deadlines and act between each other's
// calls, while the platform loses responses and requests, delivers some
// requests late and becomes unavailable. In any combination, a request must be
// executed at most once, a repeat must get the response of that execution, and
// no completed request may be lost.
TEST_CASE("histories of concurrent runs hold under faults") {
  int dispatches = 0;
  int crashes = 0;
  int replays = 0;
  int in_doubt_outcomes = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    ledger_history history(static_cast<std::uint64_t>(seed),
                           faulty_store::disabled_guard::kNone);
    history.Run(kSteps);
    CAPTURE(seed, history.violations());
    CHECK(history.violations().empty());
    dispatches += history.dispatches();
    crashes += history.crashes();
    replays += history.replays();
    in_doubt_outcomes += history.in_doubt_outcomes();
  }
  // The faults did occur, and requests were executed in spite of them.
  CHECK(dispatches > 5 * kSeeds);
  CHECK(crashes > kSeeds);
  CHECK(replays > kSeeds);
  CHECK(in_doubt_outcomes > kSeeds);
}

TEST_CASE("the history check detects a missing version fence") {
  CHECK(CountViolatingSeeds(faulty_store::disabled_guard::kVersionFence) >
        kSeeds / 10);
}

TEST_CASE("the history check detects a missing read-back of the nonce") {
  CHECK(CountViolatingSeeds(faulty_store::disabled_guard::kNonceReadBack) >
        kSeeds / 10);
}
