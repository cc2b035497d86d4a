#include "history/log_losses.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "history/log_line.h"

namespace samphire {

namespace {

constexpr int kFirstFailure = 400;

// The time without its last digit of the second: 2026-12-03T10:00:4.
std::string SpanOf(const std::string& time) {
  constexpr std::size_t kToTensOfSeconds = 18;
  return time.substr(0, kToTensOfSeconds) + "0";
}

std::string Percent(std::uint64_t part, std::uint64_t all) {
  constexpr double kHundred = 100;
  return fmt::format("{:.1f}%", all == 0
                                    ? 0
                                    : kHundred * static_cast<double>(part) /
                                          static_cast<double>(all));
}

}  // namespace

void log_losses::Read(std::string_view line) {
  if (IsBlank(line))
    return;
  const auto json = ParseLogLine(LogLineText(line));
  if (!json) {
    ++unreadable_;
    return;
  }
  const auto event = json->optValue<std::string>("event", "");
  const auto key = json->optValue<std::string>("instance", "") + " " +
                   json->optValue<std::string>("request", "");
  if (event == "attempt") {
    open_[key] = {
        .load_before = json->optValue<double>("load_before", 0),
        .slots = json->optValue<double>("slots", 0),
        .knows_key = json->optValue("knows_key", true),
        .answered = json->optValue<std::string>("result", "") == "answered"};
  } else if (event == "request" || event == "request-refused-unread") {
    const auto last = open_.find(key);
    CountEnd(json->optValue<std::string>("time", ""),
             json->optValue<std::string>("result", ""),
             json->optValue("status", kFirstFailure),
             last == open_.end() ? nullptr : &last->second);
    open_.erase(key);
  } else if (event == "log-lines-dropped") {
    dropped_ += json->optValue<std::uint64_t>("lines", 0);
  }
}

// An attempt's line is written only where it failed or took longer than the
// objective, so a request that was answered and has one at the end was late.
void log_losses::CountEnd(const std::string& time,
                          const std::string& result,
                          int status,
                          const attempt* last) {
  ++requests_;
  auto& span = by_span_[SpanOf(time)];
  ++span.requests;
  if (status <= 0 || status >= kFirstFailure) {
    ++span.unserved;
    // The target's own failure was passed on.
    const bool targets = result == "ok";
    ++by_cause_["not served: " + (targets ? "the target failed it" : result)];
  } else if (last != nullptr && last->answered) {
    ++span.late;
    ++by_cause_[LateCause(*last)];
  }
}

std::string log_losses::LateCause(const attempt& last) {
  if (!last.knows_key)
    return "late: the target was not known to have the key";
  if (last.slots > 0 && last.load_before >= last.slots)
    return "late: queued at the target";
  return "late: the target was slow";
}

std::string log_losses::Text() const {
  std::string text = fmt::format(
      "requests: {}; lines dropped: {}; lines that are no JSON: {}\n",
      requests_, dropped_, unreadable_);
  std::vector<std::pair<std::string, std::uint64_t>> causes(by_cause_.begin(),
                                                            by_cause_.end());
  std::stable_sort(
      causes.begin(), causes.end(),
      [](const auto& a, const auto& b) { return a.second > b.second; });
  for (const auto& [cause, count] : causes)
    text += fmt::format("{:>8} {:>6}  {}\n", count, Percent(count, requests_),
                        cause);
  text += fmt::format("{:20} {:>8} {:>8} {:>8}\n", "from", "requests", "late",
                      "unserved");
  for (const auto& [from, span] : by_span_) {
    text += fmt::format("{:20} {:>8} {:>8} {:>8}\n", from, span.requests,
                        Percent(span.late, span.requests),
                        Percent(span.unserved, span.requests));
  }
  return text;
}

}  // namespace samphire
