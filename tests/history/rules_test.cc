#include <catch2/catch.hpp>

#include "base/result_code.h"
#include "history_builder.h"

using namespace samphire;

namespace {

constexpr auto kClean = verdict_kind::kClean;
constexpr auto kBroken = verdict_kind::kBroken;

// Turns the first answer into a refusal that says the request did not run.
request_answered& Refuse(history_builder& history, result_code code) {
  auto& answer = history.First<request_answered>();
  answer.body = answer_body::kRefusal;
  answer.status = 503;
  answer.result = static_cast<int>(code);
  answer.claim = run_claim::kNotRun;
  answer.retry_after_s = 1;
  return answer;
}

}  // namespace

TEST_CASE("a history without anything to judge is not called clean") {
  for (const auto& verdict : JudgeHistory({}, {}))
    CHECK(verdict.kind() == verdict_kind::kNotJudged);
}

// Two answers are swapped on their way back, as when a connection is used
// again after its first answer was given up. A technician sees the level of
// another gate.
TEST_CASE("an answer to someone else's request is found") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 0, 10);
  CHECK(history.Judge("own-answer").kind() == kClean);
  history.First<request_answered>().echo_id = "two";
  CHECK(history.Judge("own-answer").kind() == kBroken);
}

// A target breaks off and the entry closes the answer as if it were whole. The
// caller works with half a history.
TEST_CASE("a cut answer that looks whole is found, a visible cut is not") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 0, 10);
  history.First<request_answered>().body = answer_body::kTruncated;
  CHECK(history.Judge("own-answer").kind() == kClean);
  history.First<request_answered>().body = answer_body::kCorrupt;
  CHECK(history.Judge("own-answer").kind() == kBroken);
}

TEST_CASE(
    "a recorded answer may be another sending's, with the same key only") {
  history_builder history;
  history.Answered("one", 0, 10, "s/a", "key-1")
      .Answered("two", 20, 30, "s/a", "key-1");
  auto& answer = history.First<request_answered>();
  answer.echo_id = "two";
  CHECK(history.Judge("own-answer").kind() == kBroken);
  answer.result = static_cast<int>(result_code::kReplayed);
  CHECK(history.Judge("own-answer").kind() == kClean);
  history.First<request_sent>().key = "key-2";
  CHECK(history.Judge("own-answer").kind() == kBroken);
}

// An entry loses the target's answer and says "not run". The caller sends the
// claim again and it is paid twice.
TEST_CASE("not-run for a request that ran is found") {
  history_builder history;
  history.Answered("one", 0, 10)
      .Add(request_sent{.time_us = 0, .id = "two", .deadline_ms = 100});
  history.Add(request_answered{.time_us = Ms(1),
                               .id = "two",
                               .claim = run_claim::kNotRun,
                               .body = answer_body::kRefusal});
  CHECK(history.Judge("not-run").kind() == kClean);
  Refuse(history, result_code::kTargetFailed);
  CHECK(history.Judge("not-run").kind() == kBroken);
}

// A gate acknowledgement is sent again through a second entry while the first
// still runs it. The gate is opened twice.
TEST_CASE("two runs of one key are found") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10, "key-1")
      .Run(2, "t/a", "two", 0, 10, "key-1")
      .Run(3, "s/a", "three", 20, 30)
      .Run(4, "s/a", "four", 20, 30);
  CHECK(history.Judge("at-most-once").kind() == kClean);
  history.Run(5, "s/b", "five", 50, 60, "key-1");
  CHECK(history.Judge("at-most-once").kind() == kBroken);
}

// A region goes dark and everyone's work moves at once. It lands on cold
// caches and takes the second region down too.
TEST_CASE("work over the shift cap is found, one after the other is not") {
  history_builder history;
  history.Answered("one", 0, 10, "s/b").Answered("two", 10, 20, "s/b");
  CHECK(history.Judge("shift-cap").kind() == kClean);
  history.Answered("three", 15, 20, "s/b");
  CHECK(history.Judge("shift-cap").kind() == kBroken);
}

TEST_CASE("a shift between regions without a cap is found") {
  history_builder history;
  history.Answered("one", 0, 10, "s/b");
  history.First<cap_declared>().to = "south";
  CHECK(history.Judge("shift-cap").kind() == kBroken);
}

// Two entries both think that they own a target's slot. Everyone's readings
// there become slow.
TEST_CASE("more runs than slots are found") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10).Run(2, "s/a", "two", 0, 10);
  CHECK(history.Judge("slots").kind() == kClean);
  history.Run(3, "s/a", "three", 5, 10);
  CHECK(history.Judge("slots").findings.size() == 2);
}

TEST_CASE("a target that had to shed was sent too much, unless a run lingers") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10)
      .Add(run_shed{.time_us = Ms(5), .target = "s/a", .in_flight = 2});
  CHECK(history.Judge("slots").kind() == kBroken);
  history.First<run_ended>().outcome = run_outcome::kCancelled;
  CHECK(history.Judge("slots").kind() == kClean);
}

TEST_CASE("the runs of a killed target end with its next start") {
  history_builder history;
  history.Add(run_started{.time_us = 0, .target = "s/a", .run = 1})
      .Add(run_started{.time_us = 0, .target = "s/a", .run = 2})
      .Add(target_declared{
          .time_us = Ms(5), .target = "s/a", .region = "east", .slots = 2})
      .Run(3, "s/a", "three", 6, 8);
  CHECK(history.Judge("slots").kind() == kClean);
}

// A target was drained for maintenance, but an entry never heard of it. What
// it sends there dies with the target.
TEST_CASE("work for a target long after it began to leave is found") {
  history_builder history;
  history.Add(target_leaving{.time_us = Ms(0), .target = "s/a"})
      .Run(1, "s/a", "one", 2900, 5000)
      .Run(2, "s/b", "two", 6000, 6100);
  CHECK(history.Judge("leaving-target").kind() == kClean);
  history.Add(target_leaving{.time_us = Ms(3000), .target = "s/a"})
      .Run(3, "s/a", "three", 3100, 3200);
  CHECK(history.Judge("leaving-target").kind() == kBroken);
}

TEST_CASE("a target that came back may work again") {
  history_builder history;
  history.Add(target_leaving{.time_us = 0, .target = "s/a"})
      .Add(target_leaving{.time_us = Ms(10), .target = "s/a", .leaving = false})
      .Run(1, "s/a", "one", 9000, 9100);
  CHECK(history.Judge("leaving-target").kind() == kClean);
}

// An entry is replaced and closes its connections while an archive is still
// being downloaded. The inspector gets half of it.
TEST_CASE("a planned stop that cuts a request is found") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 0, 10);
  history.Add(planned_stop{.time_us = Ms(5), .subject = "entry-1"})
      .Add(planned_stop{.time_us = Ms(20), .subject = "entry-1", .over = true});
  CHECK(history.Judge("planned-stop").kind() == kClean);
  history.First<request_answered>().body = answer_body::kTruncated;
  CHECK(history.Judge("planned-stop").kind() == kBroken);
  history.First<request_answered>().body = answer_body::kLost;
  CHECK(history.Judge("planned-stop").kind() == kBroken);
}

TEST_CASE("a request that met a closing idle connection was not in progress") {
  history_builder history;
  history.Add(planned_stop{.time_us = 0, .subject = "entry-1"})
      .Add(request_sent{.time_us = Ms(5), .id = "one", .entry = "entry-1"})
      .Add(request_answered{.time_us = Ms(6),
                            .id = "one",
                            .body = answer_body::kLost,
                            .reused = true});
  CHECK(history.Judge("planned-stop").kind() == kClean);
  history.First<request_answered>().reused = false;
  CHECK(history.Judge("planned-stop").kind() == kBroken);
}

TEST_CASE("a planned stop of a target that cuts a run is found") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10)
      .Add(planned_stop{.time_us = Ms(5), .subject = "s/a"});
  CHECK(history.Judge("planned-stop").kind() == kClean);
  history.First<run_ended>().outcome = run_outcome::kCut;
  CHECK(history.Judge("planned-stop").kind() == kBroken);
}

// An entry starts anew during an outage of the platform with an old copy. The
// operators' drain is undone there.
TEST_CASE("a version that goes back is found, an overtaken answer is not") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 5, 20);
  history.First<request_answered>().config_version = 4;
  CHECK(history.Judge("configuration").kind() == kClean);
  history.Add(config_seen{
      .time_us = Ms(30), .asked_us = Ms(15), .entry = "entry-1", .version = 3});
  CHECK(history.Judge("configuration").kind() == kBroken);
}

// A replaced entry answers before it has any configuration. To refuse is right;
// to serve would be by no plan at all.
TEST_CASE("version 0 is found unless it is the refusal that says so") {
  history_builder history;
  history.Answered("one", 20, 30).Answered("two", 0, 10);
  auto& answer = Refuse(history, result_code::kNoConfiguration);
  answer.config_version = 0;
  CHECK(history.Judge("configuration").kind() == kClean);
  answer.result = static_cast<int>(result_code::kQueueFull);
  CHECK(history.Judge("configuration").kind() == kBroken);
  answer.result = static_cast<int>(result_code::kNoConfiguration);
  answer.claim = run_claim::kUnknown;
  CHECK(history.Judge("configuration").kind() == kBroken);
  answer.claim = run_claim::kNotRun;
  answer.config_version = 2;
  CHECK(history.Judge("configuration").kind() == kBroken);
}

// An entry stopped listening for changes. It sends traffic by a plan that its
// operators believe replaced.
TEST_CASE("a version that is not in force in time is found") {
  history_builder history;
  history.Add(config_accepted{.time_us = 0, .version = 4});
  history.Answered("one", 8000, 8010);
  CHECK(history.Judge("configuration").kind() == kClean);
  history.Answered("two", 9500, 9510);
  CHECK(history.Judge("configuration").kind() == kBroken);
}

// An entry keeps a caller waiting although it knows that it will refuse. The
// crew has no time left to ask elsewhere.
TEST_CASE("a late refusal is found") {
  history_builder history;
  history.Answered("one", 0, 10);
  auto& answer = Refuse(history, result_code::kQueueFull);
  CHECK(history.Judge("refusal").kind() == kClean);
  answer.latency_us = Ms(300);
  CHECK(history.Judge("refusal").kind() == kBroken);
}

TEST_CASE(
    "silence past the deadline and a missing time to come back are found") {
  history_builder history;
  history.Answered("one", 0, 10);
  auto& answer = Refuse(history, result_code::kQueueExpired);
  answer.latency_us = Ms(340);
  CHECK(history.Judge("refusal").kind() == kClean);
  answer.latency_us = Ms(360);
  CHECK(history.Judge("refusal").kind() == kBroken);
  answer.latency_us = Ms(10);
  answer.retry_after_s = -1;
  CHECK(history.Judge("refusal").kind() == kBroken);
}

// Something on the way keeps answers and gives them out again. The person on
// duty sees yesterday's level and thinks it safe.
TEST_CASE("a level from before it was asked for is found") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 20, 30);
  CHECK(history.Judge("fresh-level").kind() == kClean);
  history.First<request_sent>().time_us = Ms(8);
  CHECK(history.Judge("fresh-level").kind() == kBroken);
}

TEST_CASE("a changed time of measurement, run or age is found") {
  history_builder history;
  history.Answered("one", 0, 10);
  auto& answer = history.First<request_answered>();
  const auto sound = answer;
  answer.measured_us += 1;
  CHECK(history.Judge("fresh-level").kind() == kBroken);
  answer = sound;
  answer.target_run = 7;
  CHECK(history.Judge("fresh-level").kind() == kBroken);
  answer = sound;
  answer.age_s = -1;
  CHECK(history.Judge("fresh-level").kind() == kBroken);
  answer = sound;
  answer.age_s = 60;
  CHECK(history.Judge("fresh-level").kind() == kBroken);
}
