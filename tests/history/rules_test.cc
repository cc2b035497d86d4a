#include <catch2/catch.hpp>

#include "base/result_code.h"
#include "history_builder.h"

using namespace samphire;

namespace {

constexpr auto kClean = verdict_kind::kClean;
constexpr auto kViolated = verdict_kind::kViolated;

// Changes the first answer into a refusal that reports the request as not run.
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

TEST_CASE("a history without anything to judge is not reported as clean") {
  for (const auto& verdict : JudgeHistory({}, {}))
    CHECK(verdict.kind() == verdict_kind::kNotJudged);
}

// Two answers are swapped on their way back, as happens when a connection is
// reused after its first request was cancelled. A technician sees the level of
// another gate.
TEST_CASE("an answer to another request is found") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 0, 10);
  CHECK(history.Judge("own-answer").kind() == kClean);
  history.First<request_answered>().echo_id = "two";
  CHECK(history.Judge("own-answer").kind() == kViolated);
}

// A target aborts an answer and the entry ends the response as if it were
// complete. The caller uses partial data.
TEST_CASE(
    "a truncated answer that looks complete is found, visible truncation not") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 0, 10);
  history.First<request_answered>().body = answer_body::kTruncated;
  CHECK(history.Judge("own-answer").kind() == kClean);
  history.First<request_answered>().body = answer_body::kCorrupt;
  CHECK(history.Judge("own-answer").kind() == kViolated);
}

TEST_CASE(
    "a replayed answer may be that of another attempt with the same key") {
  history_builder history;
  history.Answered("one", 0, 10, "s/a", "key-1")
      .Answered("two", 20, 30, "s/a", "key-1");
  auto& answer = history.First<request_answered>();
  answer.echo_id = "two";
  CHECK(history.Judge("own-answer").kind() == kViolated);
  answer.result = static_cast<int>(result_code::kReplayed);
  CHECK(history.Judge("own-answer").kind() == kClean);
  history.First<request_sent>().key = "key-2";
  CHECK(history.Judge("own-answer").kind() == kViolated);
}

// An entry loses the answer of the target and reports "not-run". The caller
// retries the claim, and it is paid twice.
TEST_CASE("a not-run report for a request that ran is found") {
  history_builder history;
  history.Answered("one", 0, 10)
      .Add(request_sent{.time_us = 0, .id = "two", .deadline_ms = 100});
  history.Add(request_answered{.time_us = Ms(1),
                               .id = "two",
                               .claim = run_claim::kNotRun,
                               .body = answer_body::kRefusal});
  CHECK(history.Judge("not-run").kind() == kClean);
  Refuse(history, result_code::kTargetFailed);
  CHECK(history.Judge("not-run").kind() == kViolated);
}

// A gate acknowledgement is retried through a second entry while the first
// attempt still runs. The gate is opened twice.
TEST_CASE("two runs with the same key in a service are found") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10, "key-1")
      .Run(2, "t/a", "two", 0, 10, "key-1")
      .Run(3, "s/a", "three", 20, 30)
      .Run(4, "s/a", "four", 20, 30);
  CHECK(history.Judge("at-most-once").kind() == kClean);
  history.Run(5, "s/b", "five", 50, 60, "key-1");
  CHECK(history.Judge("at-most-once").kind() == kViolated);
}

// A region fails and all its requests shift to another region at once. They
// meet cold caches there and overload the second region, too.
TEST_CASE(
    "concurrent runs over the shift cap are found, sequential ones are not") {
  history_builder history;
  history.Answered("one", 0, 10, "s/b").Answered("two", 10, 20, "s/b");
  CHECK(history.Judge("shift-cap").kind() == kClean);
  history.Answered("three", 15, 20, "s/b");
  CHECK(history.Judge("shift-cap").kind() == kViolated);
}

TEST_CASE("a shift between regions without a cap is found") {
  history_builder history;
  history.Answered("one", 0, 10, "s/b");
  history.First<cap_declared>().to = "south";
  CHECK(history.Judge("shift-cap").kind() == kViolated);
}

// Two entries use the same slot of a target because both believe they own it.
// All requests at that target become slow.
TEST_CASE("more runs than slots are found") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10).Run(2, "s/a", "two", 0, 10);
  CHECK(history.Judge("slots").kind() == kClean);
  history.Run(3, "s/a", "three", 5, 10);
  CHECK(history.Judge("slots").findings.size() == 2);
}

TEST_CASE(
    "load shedding by a target is a violation unless a run was cancelled") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10)
      .Add(run_shed{.time_us = Ms(5), .target = "s/a", .in_flight = 2});
  CHECK(history.Judge("slots").kind() == kViolated);
  history.First<run_ended>().outcome = run_outcome::kCancelled;
  CHECK(history.Judge("slots").kind() == kClean);
}

TEST_CASE("the runs of a killed target end when it is declared again") {
  history_builder history;
  history.Add(run_started{.time_us = 0, .target = "s/a", .run = 1})
      .Add(run_started{.time_us = 0, .target = "s/a", .run = 2})
      .Add(target_declared{
          .time_us = Ms(5), .target = "s/a", .region = "east", .slots = 2})
      .Run(3, "s/a", "three", 6, 8);
  CHECK(history.Judge("slots").kind() == kClean);
}

// A target is drained for maintenance, but an entry does not get the update.
// The requests that it sends there are lost when the target stops.
TEST_CASE("a run at a target long after its drain began is found") {
  history_builder history;
  history.Add(target_leaving{.time_us = Ms(0), .target = "s/a"})
      .Run(1, "s/a", "one", 2900, 5000)
      .Run(2, "s/b", "two", 6000, 6100);
  CHECK(history.Judge("leaving-target").kind() == kClean);
  history.Add(target_leaving{.time_us = Ms(3000), .target = "s/a"})
      .Run(3, "s/a", "three", 3100, 3200);
  CHECK(history.Judge("leaving-target").kind() == kViolated);
}

TEST_CASE("a target whose drain was undone may run requests again") {
  history_builder history;
  history.Add(target_leaving{.time_us = 0, .target = "s/a"})
      .Add(target_leaving{.time_us = Ms(10), .target = "s/a", .leaving = false})
      .Run(1, "s/a", "one", 9000, 9100);
  CHECK(history.Judge("leaving-target").kind() == kClean);
}

// An entry is replaced and closes its connections while an archive is still
// being downloaded. The inspector gets a truncated file.
TEST_CASE("a planned stop that interrupts a request is found") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 0, 10);
  history.Add(planned_stop{.time_us = Ms(5), .subject = "entry-1"})
      .Add(planned_stop{.time_us = Ms(20), .subject = "entry-1", .over = true});
  CHECK(history.Judge("planned-stop").kind() == kClean);
  history.First<request_answered>().body = answer_body::kTruncated;
  CHECK(history.Judge("planned-stop").kind() == kViolated);
  history.First<request_answered>().body = answer_body::kLost;
  CHECK(history.Judge("planned-stop").kind() == kViolated);
}

TEST_CASE(
    "a request sent on an idle connection that closes was not in progress") {
  history_builder history;
  history.Add(planned_stop{.time_us = 0, .subject = "entry-1"})
      .Add(request_sent{.time_us = Ms(5), .id = "one", .entry = "entry-1"})
      .Add(request_answered{.time_us = Ms(6),
                            .id = "one",
                            .body = answer_body::kLost,
                            .reused = true});
  CHECK(history.Judge("planned-stop").kind() == kClean);
  history.First<request_answered>().reused = false;
  CHECK(history.Judge("planned-stop").kind() == kViolated);
}

TEST_CASE("a planned stop of a target that interrupts a run is found") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10)
      .Add(planned_stop{.time_us = Ms(5), .subject = "s/a"});
  CHECK(history.Judge("planned-stop").kind() == kClean);
  history.First<run_ended>().outcome = run_outcome::kAborted;
  CHECK(history.Judge("planned-stop").kind() == kViolated);
}

// An entry restarts during an outage of the platform from an outdated copy of
// the configuration. A drain by the operators is undone there.
TEST_CASE("a reverted version is found, an overtaken answer is not") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 5, 20);
  history.First<request_answered>().config_version = 4;
  CHECK(history.Judge("configuration").kind() == kClean);
  history.Add(config_seen{
      .time_us = Ms(30), .asked_us = Ms(15), .entry = "entry-1", .version = 3});
  CHECK(history.Judge("configuration").kind() == kViolated);
}

// A replaced entry answers before it has any configuration. Refusing is
// correct; any other answer would not be based on a configuration.
TEST_CASE(
    "version 0 is found except in a refusal for lack of a configuration") {
  history_builder history;
  history.Answered("one", 20, 30).Answered("two", 0, 10);
  auto& answer = Refuse(history, result_code::kNoConfiguration);
  answer.config_version = 0;
  CHECK(history.Judge("configuration").kind() == kClean);
  answer.result = static_cast<int>(result_code::kQueueFull);
  CHECK(history.Judge("configuration").kind() == kViolated);
  answer.result = static_cast<int>(result_code::kNoConfiguration);
  answer.claim = run_claim::kUnknown;
  CHECK(history.Judge("configuration").kind() == kViolated);
  answer.claim = run_claim::kNotRun;
  answer.config_version = 2;
  CHECK(history.Judge("configuration").kind() == kViolated);
}

// An entry no longer receives updates. It steers traffic by a configuration
// that its operators believe to be replaced.
TEST_CASE("a version that is not in force in time is found") {
  history_builder history;
  history.Add(config_accepted{.time_us = 0, .version = 4});
  history.Answered("one", 8000, 8010);
  CHECK(history.Judge("configuration").kind() == kClean);
  history.Answered("two", 9500, 9510);
  CHECK(history.Judge("configuration").kind() == kViolated);
}

// An entry delays a refusal that it has already decided. The caller has no time
// left to try elsewhere.
TEST_CASE("a late refusal is found") {
  history_builder history;
  history.Answered("one", 0, 10);
  auto& answer = Refuse(history, result_code::kQueueFull);
  CHECK(history.Judge("refusal").kind() == kClean);
  answer.latency_us = Ms(300);
  CHECK(history.Judge("refusal").kind() == kViolated);
}

TEST_CASE("an answer after the deadline and a missing Retry-After are found") {
  history_builder history;
  history.Answered("one", 0, 10);
  auto& answer = Refuse(history, result_code::kQueueExpired);
  answer.latency_us = Ms(340);
  CHECK(history.Judge("refusal").kind() == kClean);
  answer.latency_us = Ms(360);
  CHECK(history.Judge("refusal").kind() == kViolated);
  answer.latency_us = Ms(10);
  answer.retry_after_s = -1;
  CHECK(history.Judge("refusal").kind() == kViolated);
}

// A cache on the way serves an old answer. The person on duty sees the level of
// the day before and considers it safe.
TEST_CASE("a level measured before it was requested is found") {
  history_builder history;
  history.Answered("one", 0, 10).Answered("two", 20, 30);
  CHECK(history.Judge("fresh-level").kind() == kClean);
  history.First<request_sent>().time_us = Ms(8);
  CHECK(history.Judge("fresh-level").kind() == kViolated);
}

TEST_CASE("a changed measurement time, run or age is found") {
  history_builder history;
  history.Answered("one", 0, 10);
  auto& answer = history.First<request_answered>();
  const auto valid = answer;
  answer.measured_us += 1;
  CHECK(history.Judge("fresh-level").kind() == kViolated);
  answer = valid;
  answer.target_run = 7;
  CHECK(history.Judge("fresh-level").kind() == kViolated);
  answer = valid;
  answer.age_s = -1;
  CHECK(history.Judge("fresh-level").kind() == kViolated);
  answer = valid;
  answer.age_s = 60;
  CHECK(history.Judge("fresh-level").kind() == kViolated);
}
