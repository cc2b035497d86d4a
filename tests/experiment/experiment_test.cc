#include <catch2/catch.hpp>

#include "experiment/arrival_schedule.h"
#include "experiment/body_check.h"
#include "experiment/caller_retry_context.h"
#include "experiment/latency_percentiles.h"
#include "experiment/load_report.h"
#include "experiment/scenario_reader.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const std::string kScenario = R"({"name":"x","run_ms":4000,
  "callers":[{"region":"a","sources":["127.0.0.1"],"share":3},
             {"region":"b","sources":["127.0.0.2"],"share":1}],
  "streams":[{"service":"s","class":"c","path":"/p","deadline_ms":100,
              "rates":[{"at_ms":0,"per_second":100},
                       {"at_ms":2000,"per_second":1000}]}]})";

std::string With(const std::string& from, const std::string& to) {
  auto text = kScenario;
  return text.replace(text.find(from), from.size(), to);
}

std::string EchoAnswer(std::int64_t bytes) {
  return EncodeEchoHeader({.request_id = "id",
                           .target = "s/a",
                           .run = 1,
                           .measured_us = 2,
                           .bytes = bytes}) +
         EchoFiller("id", 0, static_cast<std::size_t>(bytes));
}

// Passes the answer in pieces of 7 bytes, as it may arrive from a connection.
answer_body Verdict(const std::string& answer, bool framing_complete) {
  body_check check;
  for (std::size_t i = 0; i < answer.size(); i += 7)
    check.Add(std::string_view(answer).substr(i, 7));
  return check.Verdict(framing_complete);
}

caller_retry_context Refused(std::int64_t retry_after_s) {
  caller_retry_context context{
      .attempts_remain = true, .time_left = 3s, .max_retry_wait = 1s};
  context.answer.body = answer_body::kRefusal;
  context.answer.retry_after_s = retry_after_s;
  return context;
}

}  // namespace

TEST_CASE(
    "an invalid scenario is rejected with the JSON pointer of its error") {
  REQUIRE(ReadScenario(kScenario));
  const auto pointer = [](const std::string& text) {
    const auto plan = ReadScenario(text);
    return plan ? std::string("none") : plan.error().pointer;
  };
  CHECK(pointer(With("\"path\":\"/p\",", "")) == "/streams/0/path");
  CHECK(pointer(With("\"class\"", "\"klass\"")) == "/streams/0/class");
  CHECK(pointer(With("\"share\":3", "\"share\":\"3\"")) == "/callers/0/share");
  CHECK(pointer(With("\"run_ms\":4000", "\"run_ms\":0")) == "/run_ms");
  CHECK(pointer(With("\"at_ms\":0", "\"at_ms\":3000")) == "/streams/0/rates");
  CHECK(pointer(With("\"name\":\"x\",", "\"name\":\"x\",\"y\":1,")) == "/y");
  CHECK(pointer(With("[{\"at_ms\"", "[7,{\"at_ms\"")) == "/streams/0/rates/0");
}

TEST_CASE(
    "arrivals follow rates and shares and are the same for the same seed") {
  const auto plan = ReadScenario(kScenario).value();
  const auto arrivals = PlanArrivals(plan);
  const auto again = PlanArrivals(plan);
  REQUIRE(arrivals.size() == again.size());
  int early = 0;
  int of_first = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    CHECK(arrivals[i].at == again[i].at);
    CHECK((i == 0 || arrivals[i - 1].at <= arrivals[i].at));
    early += arrivals[i].at < 2s ? 1 : 0;
    of_first += arrivals[i].group == 0 ? 1 : 0;
  }
  // 200 arrivals before and 2,000 after the rate step are expected. The seed is
  // fixed; the margin is 4 standard deviations.
  CHECK(early == Approx(200).margin(60));
  CHECK(arrivals.size() == Approx(2200).margin(190));
  CHECK(of_first ==
        Approx(0.75 * static_cast<double>(arrivals.size())).margin(85));
}

// A target closes the connection in the middle of an answer. The caller must be
// able to tell a partial answer from a complete one.
TEST_CASE("missing, added and changed bytes of an answer are detected") {
  const auto answer = EchoAnswer(100);
  CHECK(Verdict(answer, true) == answer_body::kComplete);
  CHECK(Verdict(answer.substr(0, 90), false) == answer_body::kTruncated);
  CHECK(Verdict(answer.substr(0, 20), false) == answer_body::kTruncated);
  CHECK(Verdict(answer.substr(0, 90), true) == answer_body::kCorrupt);
  CHECK(Verdict("", true) == answer_body::kCorrupt);
  CHECK(Verdict(answer + "x", true) == answer_body::kCorrupt);
  auto changed = answer;
  changed.back() ^= 1;
  CHECK(Verdict(changed, true) == answer_body::kCorrupt);
}

TEST_CASE("filler does not depend on offset and size of the requested part") {
  const auto whole = EchoFiller("id", 0, 1000);
  CHECK(EchoFiller("id", 13, 500) == whole.substr(13, 500));
  CHECK(EchoFiller("other", 0, 1000) != whole);
}

// An overloaded region refuses all requests with a Retry-After header. Callers
// that retry without waiting would keep it overloaded.
TEST_CASE(
    "Retry-After is honoured within bounds; a refusal without it is final") {
  CHECK(CallerRetryDelay(Refused(0)) == duration(0));
  CHECK(CallerRetryDelay(Refused(600)) == duration(1s));
  CHECK_FALSE(CallerRetryDelay(Refused(-1)));
  auto context = Refused(1);
  context.time_left = 500ms;
  CHECK_FALSE(CallerRetryDelay(context));
  context = Refused(1);
  context.attempts_remain = false;
  CHECK_FALSE(CallerRetryDelay(context));
}

TEST_CASE("a lost answer is retried at once, a complete one never") {
  auto context = Refused(-1);
  for (const auto body : {answer_body::kLost, answer_body::kNoConnection,
                          answer_body::kTruncated}) {
    context.answer.body = body;
    CHECK(CallerRetryDelay(context) == duration(0));
  }
  context.time_left = duration(0);
  CHECK_FALSE(CallerRetryDelay(context));
  context = Refused(5);
  context.answer.body = answer_body::kComplete;
  CHECK_FALSE(CallerRetryDelay(context));
}

TEST_CASE("percentiles are latencies from the sample") {
  std::vector<duration> latencies;
  for (int i = 100; i > 0; --i)
    latencies.push_back(milliseconds(i));
  const auto found = PercentilesOf(latencies);
  CHECK(found.p50_ms == 50);
  CHECK(found.p99_ms == 99);
  CHECK(found.p999_ms == 100);
  CHECK(PercentilesOf({}).count == 0);
}

TEST_CASE("the report counts good, late and failed requests separately") {
  const auto plan = ReadScenario(kScenario).value();
  request_outcome good{
      .latency = 50ms, .deadline = 100ms, .body = answer_body::kComplete};
  auto late = good;
  late.latency = 200ms;
  late.at = 3s;
  auto refused = good;
  refused.body = answer_body::kRefusal;
  refused.result = static_cast<int>(result_code::kQueueFull);
  const auto report = MakeReport(plan, {good, late, refused});
  const auto& part = report.classes.at(0);
  CHECK(part.requests == 3);
  CHECK(part.good == 1);
  CHECK(part.late == 1);
  CHECK(part.failed.at("queue-full") == 1);
  CHECK(part.latency.max_ms == 200);
  CHECK(report.seconds.at(3).requests == 1);
  CHECK(ReportAsText(report).find("queue-full: 1") != std::string::npos);
  CHECK(ReportAsJson(report).find("\"late\":1") != std::string::npos);
  CHECK(ReportAsSvg(report).find("<polyline") != std::string::npos);
}
