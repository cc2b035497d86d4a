#include "decision/crash_quarantine.h"

#include <catch2/catch.hpp>
#include <string>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr time_point kNow{std::chrono::hours(1)};
constexpr request_fingerprint kCrasher = 1;
constexpr request_fingerprint kPoll = 2;

void LoseTarget(crash_quarantine& entry,
                request_fingerprint request,
                const std::string& target,
                time_point now) {
  entry.OnAttemptStarted(request, target);
  entry.OnAttemptFinished(request, target, attempt_outcome::kLost, now);
}

}  // namespace

// One request crashes every target that runs it, and its caller sends it again
// and again: without a quarantine the whole service goes down, target by
// target.
TEST_CASE("a request is quarantined after the second target it crashed") {
  crash_quarantine entry;
  CHECK(entry.Decide(kCrasher, kNow) == quarantine_decision::kUnrestricted);
  LoseTarget(entry, kCrasher, "t0", kNow);
  CHECK(entry.Decide(kCrasher, kNow) == quarantine_decision::kIsolate);
  // Another loss of the same target is no evidence against the request.
  LoseTarget(entry, kCrasher, "t0", kNow + 5s);
  CHECK(entry.Decide(kCrasher, kNow + 5s) == quarantine_decision::kIsolate);
  LoseTarget(entry, kCrasher, "t1", kNow + 10s);
  CHECK(entry.Decide(kCrasher, kNow + 10s) ==
        quarantine_decision::kQuarantined);
  CHECK(entry.targets_lost() == 3);
  CHECK(entry.Decide(kCrasher, kNow + 2h) ==
        quarantine_decision::kUnrestricted);
}

// The caller switches to another entry after each failure, so that no entry
// sees more than one crash.
TEST_CASE("notices of other entries count as crashes seen") {
  crash_quarantine first;
  crash_quarantine second;
  first.OnAttemptStarted(kCrasher, "t0");
  const auto notice =
      first.OnAttemptFinished(kCrasher, "t0", attempt_outcome::kLost, kNow);
  REQUIRE(notice);
  second.OnNotice(*notice, kNow);
  second.OnNotice(*notice, kNow);
  CHECK(second.Decide(kCrasher, kNow) == quarantine_decision::kIsolate);
  LoseTarget(second, kCrasher, "t1", kNow + 1s);
  CHECK(second.Decide(kCrasher, kNow + 1s) ==
        quarantine_decision::kQuarantined);
}

TEST_CASE("a suspect runs on one target at a time") {
  crash_quarantine entry;
  // A copy that was running before the first crash counts as well.
  entry.OnAttemptStarted(kCrasher, "t5");
  LoseTarget(entry, kCrasher, "t0", kNow);
  CHECK(entry.Decide(kCrasher, kNow) == quarantine_decision::kWait);
  entry.OnAttemptFinished(kCrasher, "t5", attempt_outcome::kTimedOut, kNow);
  CHECK(entry.Decide(kCrasher, kNow) == quarantine_decision::kIsolate);
}

// A poll that every control room sends runs on each target all the time, so it
// is lost with both targets that another request crashes. If it were
// quarantined, every control room would lose its readings.
TEST_CASE("a request that shared two lost targets is not quarantined") {
  crash_quarantine entry;
  entry.OnAttemptStarted(kPoll, "t9");
  entry.OnAttemptFinished(kPoll, "t9", attempt_outcome::kOk, kNow);
  for (const std::string target : {"t0", "t1"}) {
    entry.OnAttemptStarted(kPoll, target);
    entry.OnAttemptStarted(kCrasher, target);
    entry.OnAttemptFinished(kPoll, target, attempt_outcome::kLost, kNow);
    entry.OnAttemptFinished(kCrasher, target, attempt_outcome::kLost, kNow);
  }
  CHECK(entry.Decide(kCrasher, kNow) == quarantine_decision::kQuarantined);
  CHECK(entry.Decide(kPoll, kNow) == quarantine_decision::kIsolate);
  entry.OnAttemptStarted(kPoll, "t2");
  entry.OnAttemptFinished(kPoll, "t2", attempt_outcome::kOk, kNow);
  CHECK(entry.Decide(kPoll, kNow) == quarantine_decision::kUnrestricted);
  CHECK(entry.targets_lost() == 2);
}

// The poll is the only request of this entry on the target; the request that
// crashed it was sent by another entry, whose notice arrives a little later.
TEST_CASE("a loss that another entry shared is not counted as alone") {
  crash_quarantine entry;
  entry.OnAttemptStarted(kPoll, "t9");
  entry.OnAttemptFinished(kPoll, "t9", attempt_outcome::kOk, kNow);
  LoseTarget(entry, kPoll, "t0", kNow);
  entry.OnNotice({kCrasher, "t0", true}, kNow + 10ms);
  LoseTarget(entry, kPoll, "t1", kNow + 2s);
  CHECK(entry.Decide(kPoll, kNow + 2s) != quarantine_decision::kQuarantined);
}

TEST_CASE("a complete response clears a request quarantined meanwhile") {
  crash_quarantine entry;
  entry.OnAttemptStarted(kPoll, "t7");
  LoseTarget(entry, kPoll, "t0", kNow);
  LoseTarget(entry, kPoll, "t1", kNow);
  REQUIRE(entry.Decide(kPoll, kNow) == quarantine_decision::kQuarantined);
  entry.OnAttemptFinished(kPoll, "t7", attempt_outcome::kOk, kNow);
  CHECK(entry.Decide(kPoll, kNow) == quarantine_decision::kUnrestricted);
}

// A network fault breaks many connections, each with another request. Memory
// must not grow with their number, and responses to other requests must not
// evict a real suspect.
TEST_CASE("memory is bounded and ordinary responses evict no suspect") {
  crash_quarantine entry;
  for (request_fingerprint i = 0; i < 20'000; ++i)
    LoseTarget(entry, 1000 + i, "t0-" + std::to_string(i), kNow);
  CHECK(entry.suspects() <= 4096);
  LoseTarget(entry, kCrasher, "t0", kNow);
  for (request_fingerprint i = 0; i < 50'000; ++i) {
    entry.OnAttemptStarted(100'000 + i, "t1");
    entry.OnAttemptFinished(100'000 + i, "t1", attempt_outcome::kOk, kNow);
  }
  CHECK(entry.Decide(kCrasher, kNow) == quarantine_decision::kIsolate);
  CHECK(entry.Decide(kCrasher, kNow + 11min) ==
        quarantine_decision::kUnrestricted);
  CHECK(entry.suspects() == 0);
}

TEST_CASE("fingerprints depend on each part of a request") {
  const auto body = DigestOfBody("x");
  CHECK(FingerprintOf("a", "bc", "GET", "/", body) !=
        FingerprintOf("ab", "c", "GET", "/", body));
  CHECK(FingerprintOf("a", "b", "GET", "/", body) !=
        FingerprintOf("a", "b", "GET", "/", DigestOfBody("y")));
  CHECK(FingerprintOf("a", "b", "GET", "/", body) ==
        FingerprintOf("a", "b", "GET", "/", DigestOfBody("x")));
}

TEST_CASE("a request sent to a target that is going down is not suspected") {
  // One request crashes two targets at the same moment. Both still accept
  // connections for an instant, and a plain read is dropped by both. If it were
  // quarantined, its sender would be refused for an hour.
  crash_quarantine entry;
  entry.OnAttemptStarted(kCrasher, "t1");
  entry.OnAttemptFinished(kCrasher, "t1", attempt_outcome::kLost, kNow);
  for (const auto* target : {"t1", "t1", "t1"}) {
    entry.OnAttemptStarted(kPoll, target);
    CHECK_FALSE(
        entry.OnAttemptFinished(kPoll, target, attempt_outcome::kLost, kNow));
  }
  entry.OnAttemptStarted(kCrasher, "t2");
  entry.OnAttemptFinished(kCrasher, "t2", attempt_outcome::kLost, kNow);
  entry.OnAttemptStarted(kPoll, "t2");
  CHECK_FALSE(
      entry.OnAttemptFinished(kPoll, "t2", attempt_outcome::kLost, kNow));
  CHECK(entry.Decide(kPoll, kNow) == quarantine_decision::kUnrestricted);
  CHECK(entry.Decide(kCrasher, kNow) == quarantine_decision::kQuarantined);
}
