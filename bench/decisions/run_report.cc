#include "decisions/run_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "base/log.h"

namespace samphire {

namespace {

double Ms(duration length) {
  return std::chrono::duration<double, std::milli>(length).count();
}

// The count over the interactive requests that arrived.
double PerRequest(std::uint64_t count, const run_report& report) {
  const auto arrived = report.interactive.arrived;
  return arrived == 0 ? 0 : static_cast<double>(count) / arrived;
}

// Refusals by result code: a JSON object, or CODE=COUNT separated by spaces.
std::string Refusals(const group_report& group, bool json) {
  std::string text;
  for (const auto& [reason, count] : group.refused) {
    if (!text.empty())
      text += json ? "," : " ";
    text += json ? fmt::format("{}:{}", JsonQuote(NameOf(reason)), count)
                 : fmt::format("{}={}", NameOf(reason), count);
  }
  return json ? "{" + text + "}" : text;
}

std::string JsonGroup(const group_report& group) {
  return fmt::format(R"({{"arrived":{},"started":{},"in_time":{},"late":{},)"
                     R"("wait_ms":{{"p50":{:.2f},"p99":{:.2f},"p999":{:.2f}}},)"
                     R"("latency_p99_ms":{:.2f},"refused":{}}})",
                     group.arrived, group.started, group.in_time, group.late,
                     QuantileMs(group.waits, 0.5),
                     QuantileMs(group.waits, 0.99),
                     QuantileMs(group.waits, 0.999),
                     QuantileMs(group.latencies, 0.99), Refusals(group, true));
}

}  // namespace

std::uint64_t group_report::refused_total() const {
  std::uint64_t total = 0;
  for (const auto& [reason, count] : refused)
    total += count;
  return total;
}

double run_report::goodput() const {
  return Ms(interactive.useful_slot_time + bulk.useful_slot_time) /
         Ms(capacity);
}

double QuantileMs(std::vector<duration> samples, double rank) {
  if (samples.empty())
    return 0;
  const auto index = static_cast<std::size_t>(rank * (samples.size() - 1));
  const auto position = samples.begin() + static_cast<long>(index);
  std::nth_element(samples.begin(), position, samples.end());
  return Ms(*position);
}

std::string TableHead() {
  return fmt::format(
      "{:<34}{:<16}{:>5}{:>5}{:>9}{:>9}{:>9}{:>9}{:>7}{:>6}"
      "{:>7}{:>7}  {}\n",
      "scenario", "strategy", "load", "skew", "p50 ms", "p99 ms", "p99.9 ms",
      "lat p99", "good%", "late", "loan/r", "msg/r", "refused");
}

std::string TableRow(const run_report& report) {
  const auto& group = report.home;
  return fmt::format(
      "{:<34}{:<16}{:>5.2f}{:>5.2f}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.1f}{:>7.1f}"
      "{:>6}{:>7.2f}{:>7.2f}  {}\n",
      report.input.name, NameOf(kStrategyNames, report.input.strategy),
      report.input.load, report.input.busiest_share,
      QuantileMs(group.waits, 0.5), QuantileMs(group.waits, 0.99),
      QuantileMs(group.waits, 0.999), QuantileMs(group.latencies, 0.99),
      100 * report.goodput(), group.late, PerRequest(report.loans, report),
      PerRequest(report.loan_messages, report),
      Refusals(report.interactive, false));
}

std::string JsonLine(const run_report& report) {
  return fmt::format(
      R"({{"scenario":{},"strategy":{},"load":{},"skew":{},"goodput":{:.4f},)"
      R"("loans_per_request":{:.3f},"asks_per_request":{:.3f},)"
      R"("messages_per_request":{:.3f},"most_on_target":{},)"
      R"("most_shifted":{},"interactive":{},"home":{},)"
      R"("shifted":{},"high":{},"low":{},"bulk":{}}})",
      JsonQuote(report.input.name),
      JsonQuote(NameOf(kStrategyNames, report.input.strategy)),
      report.input.load, report.input.busiest_share, report.goodput(),
      PerRequest(report.loans, report),
      PerRequest(report.loan_requests, report),
      PerRequest(report.loan_messages, report), report.max_on_target,
      report.max_shifted, JsonGroup(report.interactive), JsonGroup(report.home),
      JsonGroup(report.shifted), JsonGroup(report.high), JsonGroup(report.low),
      JsonGroup(report.bulk));
}

}  // namespace samphire
