#include "experiment/load_report.h"

#include <fmt/format.h>

#include "base/log.h"
#include "base/result_code.h"

namespace samphire {

namespace {

// Names why a request failed: the result code of a refusal, its HTTP status if
// it has no known code, or else the state of the body.
std::string ReasonOf(const request_outcome& outcome) {
  if (outcome.body == answer_body::kRefusal && outcome.result > 0) {
    if (const auto code = ResultCodeOf(static_cast<int>(outcome.result)))
      return std::string(NameOf(*code));
  }
  if (outcome.body == answer_body::kRefusal)
    return fmt::format("status-{}", outcome.status);
  return std::string(NameOf(kAnswerBodyNames, outcome.body));
}

// Adds a request to its class as good, late or failed.
void Count(const request_outcome& outcome, class_report& report) {
  ++report.requests;
  report.retries += outcome.attempts - 1;
  if (outcome.good())
    ++report.good;
  else if (outcome.body == answer_body::kComplete)
    ++report.late;
  else
    ++report.failed[ReasonOf(outcome)];
}

std::size_t SecondOf(const request_outcome& outcome) {
  return static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(outcome.at).count());
}

// Groups requests by the second in which they were to be sent.
std::vector<second_report> MakeSeconds(
    const scenario& plan,
    const std::vector<request_outcome>& outcomes) {
  const auto count = static_cast<std::size_t>(
      std::chrono::ceil<std::chrono::seconds>(plan.run_time).count());
  std::vector<second_report> seconds(count);
  std::vector<std::vector<duration>> latencies(count);
  for (const auto& outcome : outcomes) {
    const auto second = SecondOf(outcome);
    ++seconds[second].requests;
    seconds[second].good += outcome.good() ? 1 : 0;
    if (outcome.body == answer_body::kComplete)
      latencies[second].push_back(outcome.latency);
  }
  for (std::size_t i = 0; i < count; ++i)
    seconds[i].latency = PercentilesOf(std::move(latencies[i]));
  return seconds;
}

}  // namespace

load_report MakeReport(const scenario& plan,
                       const std::vector<request_outcome>& outcomes) {
  load_report report{
      .name = plan.name,
      .run_seconds = std::chrono::duration<double>(plan.run_time).count()};
  std::vector<std::vector<duration>> latencies(plan.streams.size());
  for (const auto& stream : plan.streams)
    report.classes.push_back(
        {.service = stream.service, .request_class = stream.request_class});
  for (const auto& outcome : outcomes) {
    Count(outcome, report.classes[outcome.stream]);
    if (outcome.body == answer_body::kComplete)
      latencies[outcome.stream].push_back(outcome.latency);
  }
  for (std::size_t i = 0; i < report.classes.size(); ++i)
    report.classes[i].latency = PercentilesOf(std::move(latencies[i]));
  report.seconds = MakeSeconds(plan, outcomes);
  return report;
}

std::string ReportAsText(const load_report& report) {
  std::string text =
      fmt::format("{}: {:.1f} s\n", report.name, report.run_seconds);
  text +=
      fmt::format("{:<34} {:>8} {:>8} {:>6} {:>7} {:>8} {:>8} {:>8} {:>8}\n",
                  "service/class", "requests", "good", "late", "repeats",
                  "p50 ms", "p90 ms", "p99 ms", "max ms");
  for (const auto& part : report.classes) {
    text += fmt::format(
        "{:<34} {:>8} {:>8} {:>6} {:>7} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f}\n",
        part.service + "/" + part.request_class, part.requests, part.good,
        part.late, part.retries, part.latency.p50_ms, part.latency.p90_ms,
        part.latency.p99_ms, part.latency.max_ms);
    for (const auto& [reason, count] : part.failed)
      text += fmt::format("    {}: {}\n", reason, count);
  }
  return text;
}

namespace {

std::string LatencyJson(const latency_percentiles& latency) {
  return fmt::format(
      R"({{"count":{},"p50_ms":{:.3f},"p90_ms":{:.3f},"p99_ms":{:.3f},)"
      R"("p999_ms":{:.3f},"max_ms":{:.3f}}})",
      latency.count, latency.p50_ms, latency.p90_ms, latency.p99_ms,
      latency.p999_ms, latency.max_ms);
}

std::string ClassJson(const class_report& part) {
  std::string failed;
  for (const auto& [reason, count] : part.failed)
    failed += fmt::format("{}{}:{}", failed.empty() ? "" : ",",
                          JsonQuote(reason), count);
  return fmt::format(
      R"({{"service":{},"class":{},"requests":{},"good":{},"late":{},)"
      R"("repeats":{},"failed":{{{}}},"latency":{}}})",
      JsonQuote(part.service), JsonQuote(part.request_class), part.requests,
      part.good, part.late, part.retries, failed, LatencyJson(part.latency));
}

}  // namespace

std::string ReportAsJson(const load_report& report) {
  std::string classes;
  for (const auto& part : report.classes)
    classes += (classes.empty() ? "" : ",") + ClassJson(part);
  std::string seconds;
  for (const auto& second : report.seconds)
    seconds += fmt::format(R"({}{{"requests":{},"good":{},"latency":{}}})",
                           seconds.empty() ? "" : ",", second.requests,
                           second.good, LatencyJson(second.latency));
  return fmt::format(
      R"({{"name":{},"run_seconds":{:.3f},"classes":[{}],"seconds":[{}]}})",
      JsonQuote(report.name), report.run_seconds, classes, seconds);
}

}  // namespace samphire
