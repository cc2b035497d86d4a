#include "history/planned_stop_rule.h"

#include <fmt/format.h>

#include <limits>

namespace samphire {

namespace {

// Time during which an entry or a target was being stopped, both ends included;
// open-ended while no end is recorded.
struct stop_interval {
  const planned_stop* begin = nullptr;
  history_time end_us = std::numeric_limits<history_time>::max();

  bool Contains(history_time at) const {
    return at >= begin->time_us && at <= end_us;
  }
};

std::vector<stop_interval> FindStopIntervals(const history_index& history) {
  std::vector<stop_interval> intervals;
  for (const auto* stop : history.All<planned_stop>()) {
    if (!stop->over) {
      intervals.push_back({.begin = stop});
      continue;
    }
    for (auto& interval : intervals) {
      if (interval.begin->subject == stop->subject &&
          interval.end_us == std::numeric_limits<history_time>::max())
        interval.end_us = stop->time_us;
    }
  }
  return intervals;
}

// Returns whether a request was lost or truncated because its connection was
// closed. Not counted is a request sent on an idle connection just when the
// entry closed it: it never reached the entry, and HTTP leaves this race to the
// caller, who may retry.
bool WasInterrupted(const indexed_request& request) {
  const auto& answer = *request.answer;
  if (answer.body == answer_body::kTruncated)
    return true;
  return answer.body == answer_body::kLost &&
         (!answer.reused || !request.runs.empty());
}

// Returns whether the target itself aborted a run of the request, or recorded
// no end of it, as when its process was killed.
bool InterruptedByTarget(const history_index& history,
                         const indexed_request& request) {
  for (const auto number : request.runs) {
    const auto* end = history.runs().at(number).end;
    if (end == nullptr || end->outcome == run_outcome::kAborted)
      return true;
  }
  return false;
}

// Judges the requests that an entry answered while it was being stopped.
void JudgeEntry(const history_index& history,
                const stop_interval& interval,
                rule_verdict& verdict) {
  for (const auto& [id, request] : history.requests()) {
    if (request.sent.entry != interval.begin->subject ||
        request.answer == nullptr ||
        !interval.Contains(request.answer->time_us))
      continue;
    ++verdict.judged;
    if (WasInterrupted(request) && !InterruptedByTarget(history, request)) {
      verdict.findings.push_back(
          {"a planned stop interrupted a request",
           {*interval.begin, request.sent, *request.answer}});
    }
  }
}

// Judges the runs that were in progress at a target while it was being stopped.
void JudgeTarget(const history_index& history,
                 const stop_interval& interval,
                 rule_verdict& verdict) {
  for (const auto& [number, run] : history.runs()) {
    if (run.start.target != interval.begin->subject ||
        run.start.time_us > interval.end_us)
      continue;
    const bool ended_before =
        run.end != nullptr && run.end->time_us < interval.begin->time_us;
    if (ended_before)
      continue;
    ++verdict.judged;
    if (run.end == nullptr || run.end->outcome == run_outcome::kAborted)
      verdict.findings.push_back(
          {"a planned stop interrupted a run", {*interval.begin, run.start}});
  }
}

}  // namespace

rule_verdict planned_stop_rule::Judge(const history_index& history,
                                      const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  for (const auto& interval : FindStopIntervals(history)) {
    if (history.targets().contains(interval.begin->subject))
      JudgeTarget(history, interval, verdict);
    else
      JudgeEntry(history, interval, verdict);
  }
  return verdict;
}

}  // namespace samphire
