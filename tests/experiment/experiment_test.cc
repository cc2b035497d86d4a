#include <catch2/catch.hpp>

#include "experiment/body_check.h"
#include "experiment/latency_percentiles.h"
#include "experiment/load_report.h"
#include "experiment/repeat_decision.h"
#include "experiment/scenario_reader.h"
#include "experiment/schedule.h"

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

// Fed in pieces, as it comes from a connection.
answer_body Verdict(const std::string& answer, bool framing_whole) {
  body_check check;
  for (std::size_t i = 0; i < answer.size(); i += 7)
    check.Add(std::string_view(answer).substr(i, 7));
  return check.Verdict(framing_whole);
}

repeat_view Refused(std::int64_t retry_after_s) {
  repeat_view view{.more_attempts = true, .left = 3s, .longest_wait = 1s};
  view.answer.body = answer_body::kRefusal;
  view.answer.retry_after_s = retry_after_s;
  return view;
}

}  // namespace

TEST_CASE("a scenario is refused with the pointer of its fault") {
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

TEST_CASE("arrivals follow rates and shares and are the same for a seed") {
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
  // 200 and 2,000 are expected; the seed is fixed, the margin is 4 sigma.
  CHECK(early == Approx(200).margin(60));
  CHECK(arrivals.size() == Approx(2200).margin(190));
  CHECK(of_first ==
        Approx(0.75 * static_cast<double>(arrivals.size())).margin(85));
}

// A target closes in the middle of an answer. The caller must be able to tell
// half a history from a whole one.
TEST_CASE("missing, added and changed bytes of an answer are told apart") {
  const auto answer = EchoAnswer(100);
  CHECK(Verdict(answer, true) == answer_body::kWhole);
  CHECK(Verdict(answer.substr(0, 90), false) == answer_body::kTruncated);
  CHECK(Verdict(answer.substr(0, 20), false) == answer_body::kTruncated);
  CHECK(Verdict(answer.substr(0, 90), true) == answer_body::kCorrupt);
  CHECK(Verdict("", true) == answer_body::kCorrupt);
  CHECK(Verdict(answer + "x", true) == answer_body::kCorrupt);
  auto changed = answer;
  changed.back() ^= 1;
  CHECK(Verdict(changed, true) == answer_body::kCorrupt);
}

TEST_CASE("filler is the same however it is cut") {
  const auto whole = EchoFiller("id", 0, 1000);
  CHECK(EchoFiller("id", 13, 500) == whole.substr(13, 500));
  CHECK(EchoFiller("other", 0, 1000) != whole);
}

// A region refuses everyone and names a time to come back. Callers that don't
// wait would keep it overloaded.
TEST_CASE("a refusal is obeyed within bounds, and final without a time") {
  CHECK(DecideRepeat(Refused(0)) == duration(0));
  CHECK(DecideRepeat(Refused(600)) == duration(1s));
  CHECK_FALSE(DecideRepeat(Refused(-1)));
  auto view = Refused(1);
  view.left = 500ms;
  CHECK_FALSE(DecideRepeat(view));
  view = Refused(1);
  view.more_attempts = false;
  CHECK_FALSE(DecideRepeat(view));
}

TEST_CASE("a lost answer is asked for again at once, a whole one never") {
  auto view = Refused(-1);
  for (const auto body : {answer_body::kLost, answer_body::kUnconnected,
                          answer_body::kTruncated}) {
    view.answer.body = body;
    CHECK(DecideRepeat(view) == duration(0));
  }
  view.left = duration(0);
  CHECK_FALSE(DecideRepeat(view));
  view = Refused(5);
  view.answer.body = answer_body::kWhole;
  CHECK_FALSE(DecideRepeat(view));
}

TEST_CASE("percentiles are latencies that occurred") {
  std::vector<duration> latencies;
  for (int i = 100; i > 0; --i)
    latencies.push_back(milliseconds(i));
  const auto found = PercentilesOf(latencies);
  CHECK(found.p50_ms == 50);
  CHECK(found.p99_ms == 99);
  CHECK(found.p999_ms == 100);
  CHECK(PercentilesOf({}).count == 0);
}

TEST_CASE("the report counts good, late and failed apart") {
  const auto plan = ReadScenario(kScenario).value();
  request_outcome good{
      .latency = 50ms, .deadline = 100ms, .body = answer_body::kWhole};
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
