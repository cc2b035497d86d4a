#include "decision/crash_quarantine.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

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

// Guards against refusing a poll of many callers for an hour because a failure
// domain went down, or all connections broke, while copies of it were running.
TEST_CASE("copies that are lost at the same moment count as one loss") {
  crash_quarantine entry;
  for (const std::string target : {"t0", "t1", "t2", "t3"})
    entry.OnAttemptStarted(kPoll, target);
  milliseconds after{0};
  for (const std::string target : {"t0", "t1", "t2", "t3"}) {
    after += 20ms;
    entry.OnAttemptFinished(kPoll, target, attempt_outcome::kLost, kNow + after,
                            500ms);
  }
  entry.OnNotice({kPoll, "t4", true, 500}, kNow + 100ms);
  CHECK(entry.Decide(kPoll, kNow + 100ms) == quarantine_decision::kIsolate);
  // A run that began after them is lost as well.
  entry.OnNotice({kPoll, "t5", true, 50}, kNow + 200ms);
  CHECK(entry.Decide(kPoll, kNow + 200ms) == quarantine_decision::kQuarantined);
}

// Guards against refusing the callers of a poll that lost one target with
// another request: their polls would wait for each other.
TEST_CASE("an answered request under suspicion is not made to wait") {
  crash_quarantine entry;
  entry.OnAttemptStarted(kPoll, "t0");
  entry.OnAttemptFinished(kPoll, "t0", attempt_outcome::kOk, kNow);
  entry.OnAttemptStarted(kPoll, "t1");
  LoseTarget(entry, kPoll, "t0", kNow);
  CHECK(entry.Decide(kPoll, kNow) == quarantine_decision::kIsolate);
}

// Guards against releasing a request that crashes targets because one of them
// gave up on it before the crash.
TEST_CASE("an error response does not clear a suspect") {
  crash_quarantine entry;
  LoseTarget(entry, kCrasher, "t0", kNow);
  entry.OnAttemptStarted(kCrasher, "t1");
  entry.OnAttemptFinished(kCrasher, "t1", attempt_outcome::kTargetError, kNow);
  CHECK(entry.Decide(kCrasher, kNow) == quarantine_decision::kIsolate);
}

// Guards against refusing requests whose connections broke twice while their
// targets kept running.
TEST_CASE("a target that responds after its loss has not crashed") {
  crash_quarantine entry;
  LoseTarget(entry, kPoll, "t0", kNow);
  // The response to a request that was sent before says nothing.
  entry.OnTargetResponded("t0", kNow - 1ms, kNow + 100ms);
  CHECK(entry.suspects() == 1);
  LoseTarget(entry, kPoll, "t1", kNow + 200ms);
  REQUIRE(entry.Decide(kPoll, kNow + 200ms) ==
          quarantine_decision::kQuarantined);
  entry.OnTargetResponded("t1", kNow + 300ms, kNow + 400ms);
  CHECK(entry.Decide(kPoll, kNow + 400ms) ==
        quarantine_decision::kUnrestricted);
  CHECK(entry.TakeReleased() == std::vector<request_fingerprint>{kPoll});
  CHECK(entry.TakeReleased().empty());
}

// Guards against entries that keep each other's quarantine alive for ever, and
// against one that forgets it too early.
TEST_CASE("a quarantine that entries tell each other ends in time") {
  crash_quarantine first;
  crash_quarantine second;
  LoseTarget(first, kCrasher, "t0", kNow);
  LoseTarget(first, kCrasher, "t1", kNow);
  for (auto at = kNow; at < kNow + 1h; at += 1s) {
    for (const auto& each : first.QuarantinedRequests(at))
      second.OnQuarantined(each, at + 70ms);
    for (const auto& each : second.QuarantinedRequests(at))
      first.OnQuarantined(each, at + 70ms);
  }
  CHECK(second.Decide(kCrasher, kNow + 59min) ==
        quarantine_decision::kQuarantined);
  CHECK(first.Decide(kCrasher, kNow + 1h + 2s) ==
        quarantine_decision::kUnrestricted);
  CHECK(second.Decide(kCrasher, kNow + 1h + 2s) ==
        quarantine_decision::kUnrestricted);
}

// Guards against refusing a request for an hour that was sent for the first
// time while another one crashed the targets on which both ran.
TEST_CASE("a request lost beside the cause of all losses is free again") {
  crash_quarantine entry;
  constexpr request_fingerprint kBeside = 7;
  const auto lose_both = [&](const std::string& target, time_point at) {
    for (const auto request : {kBeside, kCrasher})
      entry.OnAttemptStarted(request, target);
    for (const auto request : {kBeside, kCrasher})
      entry.OnAttemptFinished(request, target, attempt_outcome::kLost, at,
                              50ms);
  };
  lose_both("t0", kNow);
  lose_both("t1", kNow + 100ms);
  CHECK(entry.Decide(kCrasher, kNow + 100ms) ==
        quarantine_decision::kQuarantined);
  CHECK(entry.Decide(kBeside, kNow + 100ms) ==
        quarantine_decision::kQuarantined);
  // Callers are told when each is tried again.
  CHECK(entry.RefusedFor(kBeside, kNow + 100ms) > 0ms);
  CHECK(entry.RefusedFor(kBeside, kNow + 100ms) <= 2s);
  // Each is tried again, and the one that crashes targets does so.
  auto at = kNow + 100ms;
  while (entry.Decide(kCrasher, at) == quarantine_decision::kQuarantined)
    at += 100ms;
  CHECK(at <= kNow + 3s);
  LoseTarget(entry, kCrasher, "t2", at + 50ms);
  CHECK(entry.Decide(kCrasher, at + 1min) == quarantine_decision::kQuarantined);
  CHECK(entry.Decide(kBeside, at + 50ms) == quarantine_decision::kUnrestricted);
}

TEST_CASE("a release that another entry tells applies") {
  crash_quarantine entry;
  entry.OnQuarantined({kPoll, 600}, kNow);
  REQUIRE(entry.Decide(kPoll, kNow) == quarantine_decision::kQuarantined);
  entry.OnReleased(kPoll, kNow);
  // What others still tell does not bring it back.
  entry.OnQuarantined({kPoll, 600}, kNow);
  CHECK(entry.Decide(kPoll, kNow) == quarantine_decision::kUnrestricted);
}

// Guards against entries that hear of the same losses in another order and
// conclude otherwise: one refuses a request that another one still sends.
TEST_CASE("losses count alike in whatever order they are heard of") {
  // Three runs, the second of which overlaps both others.
  const std::vector<crash_notice> losses = {
      {.fingerprint = kCrasher, .target = "t0", .alone = true, .ran_ms = 100},
      {.fingerprint = kCrasher, .target = "t1", .alone = true, .ran_ms = 150},
      {.fingerprint = kCrasher, .target = "t2", .alone = true, .ran_ms = 50}};
  const std::vector<time_point> lost_at = {kNow, kNow + 60ms, kNow + 80ms};
  crash_quarantine in_order;
  for (const std::size_t i : {0, 1, 2})
    in_order.OnNotice(losses[i], lost_at[i]);
  CHECK(in_order.Decide(kCrasher, kNow + 1s) ==
        quarantine_decision::kQuarantined);
  // The first loss is heard of last, by the time it happened.
  crash_quarantine out_of_order;
  for (const std::size_t i : {1, 2})
    out_of_order.OnNotice(losses[i], lost_at[i]);
  out_of_order.OnNotice(losses[0], kNow);
  CHECK(out_of_order.Decide(kCrasher, kNow + 1s) ==
        quarantine_decision::kQuarantined);
}
