#include <catch2/catch.hpp>

#include "ledger/ledger_history.h"

using namespace samphire;

namespace {

constexpr int kSeeds = 300;
constexpr int kSteps = 60;

// How many of the seeds have a history that is wrong.
int WrongHistories(chaos_store::missing_guard missing) {
  int wrong = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    ledger_history history(static_cast<std::uint64_t>(seed), missing);
    history.Run(kSteps);
    wrong += history.violations().empty() ? 0 : 1;
  }
  return wrong;
}

}  // namespace

// Entries crash, pause beyond their deadlines and act between each other's
// calls, while the platform loses answers, loses requests, delivers some late
// and goes down. Whatever comes together, a claim is paid once at most, a
// repeat gets the answer of the one run, and no completed claim is lost.
TEST_CASE("histories of concurrent runs hold under faults") {
  int dispatches = 0;
  int crashes = 0;
  int replays = 0;
  int doubts = 0;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    ledger_history history(static_cast<std::uint64_t>(seed),
                           chaos_store::missing_guard::kNone);
    history.Run(kSteps);
    CAPTURE(seed, history.violations());
    CHECK(history.violations().empty());
    dispatches += history.dispatches();
    crashes += history.crashes();
    replays += history.replays();
    doubts += history.doubts();
  }
  // The faults did come, and work got done in spite of them.
  CHECK(dispatches > 5 * kSeeds);
  CHECK(crashes > kSeeds);
  CHECK(replays > kSeeds);
  CHECK(doubts > kSeeds);
}

TEST_CASE("the history check notices a missing version fence") {
  CHECK(WrongHistories(chaos_store::missing_guard::kVersionFence) >
        kSeeds / 10);
}

TEST_CASE("the history check notices a missing read-back of the nonce") {
  CHECK(WrongHistories(chaos_store::missing_guard::kNonceReadBack) >
        kSeeds / 10);
}
