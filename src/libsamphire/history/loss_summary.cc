#include "history/loss_summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "history/log_line.h"

namespace samphire {

namespace {

// HTTP statuses from here on are errors; assumed if a log line has no status.
constexpr int kFirstErrorStatus = 400;

// Returns the start of the ten-second interval of a time: the time without the
// last digit of its seconds, such as 2026-12-03T10:00:4, and a zero.
std::string IntervalOf(const std::string& time) {
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

void loss_summary::Read(std::string_view line) {
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
    pending_[key] = {
        .load_before = json->optValue<double>("load_before", 0),
        .slots = json->optValue<double>("slots", 0),
        .knows_key = json->optValue("knows_key", true),
        .answered = json->optValue<std::string>("result", "") == "answered"};
  } else if (event == "request" || event == "request-refused-unread") {
    const auto last = pending_.find(key);
    CountCompletion(json->optValue<std::string>("time", ""),
                    json->optValue<std::string>("result", ""),
                    json->optValue("status", kFirstErrorStatus),
                    last == pending_.end() ? nullptr : &last->second);
    pending_.erase(key);
  } else if (event == "log-lines-dropped") {
    dropped_ += json->optValue<std::uint64_t>("lines", 0);
  }
}

// Entries log an attempt only if it failed or took longer than the latency
// objective. A request that was answered by a logged attempt was therefore
// late.
void loss_summary::CountCompletion(const std::string& time,
                                   const std::string& result,
                                   int status,
                                   const attempt* last) {
  ++requests_;
  auto& interval = by_interval_[IntervalOf(time)];
  ++interval.requests;
  if (status <= 0 || status >= kFirstErrorStatus) {
    ++interval.unserved;
    // An error status of the target itself is passed on to the caller and
    // logged with result "ok".
    const bool target_failed = result == "ok";
    ++by_cause_["not served: " +
                (target_failed ? "the target failed it" : result)];
  } else if (last != nullptr && last->answered) {
    ++interval.late;
    ++by_cause_[LateCause(*last)];
  }
}

std::string loss_summary::LateCause(const attempt& last) {
  if (!last.knows_key)
    return "late: the target was not known to have the key";
  if (last.slots > 0 && last.load_before >= last.slots)
    return "late: queued at the target";
  return "late: the target was slow";
}

std::string loss_summary::Text() const {
  std::string text = fmt::format(
      "requests: {}; lines dropped: {}; lines that are not JSON: {}\n",
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
  for (const auto& [from, interval] : by_interval_) {
    text += fmt::format("{:20} {:>8} {:>8} {:>8}\n", from, interval.requests,
                        Percent(interval.late, interval.requests),
                        Percent(interval.unserved, interval.requests));
  }
  return text;
}

}  // namespace samphire
