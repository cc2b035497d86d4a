#include "history/planned_stop_rule.h"

#include <fmt/format.h>

#include <limits>

namespace samphire {

namespace {

// From when until when a subject was stopping.
struct stop_span {
  const planned_stop* begin = nullptr;
  history_time end_us = std::numeric_limits<history_time>::max();

  bool Holds(history_time at) const {
    return at >= begin->time_us && at <= end_us;
  }
};

std::vector<stop_span> FindSpans(const history_index& history) {
  std::vector<stop_span> spans;
  for (const auto* stop : history.All<planned_stop>()) {
    if (!stop->over) {
      spans.push_back({.begin = stop});
      continue;
    }
    for (auto& span : spans) {
      if (span.begin->subject == stop->subject &&
          span.end_us == std::numeric_limits<history_time>::max())
        span.end_us = stop->time_us;
    }
  }
  return spans;
}

// Whether the connection's end took a request with it. One that was sent on an
// idle connection at the moment the entry closed it never reached the entry;
// HTTP leaves that race to the caller, who may send it again.
bool WasCut(const indexed_request& request) {
  const auto& answer = *request.answer;
  if (answer.body == answer_body::kTruncated)
    return true;
  return answer.body == answer_body::kLost &&
         (!answer.reused || !request.runs.empty());
}

// Whether the target itself broke off what it sent.
bool CutByTarget(const history_index& history, const indexed_request& request) {
  for (const auto number : request.runs) {
    const auto* end = history.runs().at(number).end;
    if (end == nullptr || end->outcome == run_outcome::kCut)
      return true;
  }
  return false;
}

void JudgeEntry(const history_index& history,
                const stop_span& span,
                rule_verdict& verdict) {
  for (const auto& [id, request] : history.requests()) {
    if (request.sent.entry != span.begin->subject ||
        request.answer == nullptr || !span.Holds(request.answer->time_us))
      continue;
    ++verdict.judged;
    if (WasCut(request) && !CutByTarget(history, request)) {
      verdict.findings.push_back(
          {"a planned stop cut a request",
           {*span.begin, request.sent, *request.answer}});
    }
  }
}

void JudgeTarget(const history_index& history,
                 const stop_span& span,
                 rule_verdict& verdict) {
  for (const auto& [number, run] : history.runs()) {
    if (run.start.target != span.begin->subject ||
        run.start.time_us > span.end_us)
      continue;
    const bool ended_before =
        run.end != nullptr && run.end->time_us < span.begin->time_us;
    if (ended_before)
      continue;
    ++verdict.judged;
    if (run.end == nullptr || run.end->outcome == run_outcome::kCut)
      verdict.findings.push_back(
          {"a planned stop cut a run", {*span.begin, run.start}});
  }
}

}  // namespace

rule_verdict planned_stop_rule::Judge(const history_index& history,
                                      const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  for (const auto& span : FindSpans(history)) {
    if (history.targets().contains(span.begin->subject))
      JudgeTarget(history, span, verdict);
    else
      JudgeEntry(history, span, verdict);
  }
  return verdict;
}

}  // namespace samphire
