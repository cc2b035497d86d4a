#include "history/fresh_level_rule.h"

#include <fmt/format.h>

#include "base/result_code.h"

namespace samphire {

namespace {

constexpr history_time kMicrosPerSecond = 1'000'000;

std::string Fault(const history_index& history,
                  const indexed_request& request) {
  const auto& answer = *request.answer;
  const auto run = history.runs().find(answer.target_run);
  if (run == history.runs().end())
    return "an answer of a run that no target knows";
  if (run->second.end != nullptr &&
      run->second.end->measured_us != answer.measured_us)
    return "an answer with another time of measurement than its run's";
  if (run->second.start.time_us < request.sent.time_us)
    return fmt::format("a level measured {} ms before it was asked for",
                       (request.sent.time_us - answer.measured_us) / 1000);
  // A header that says younger than it is makes an old level look safe.
  if (answer.age_s < 0)
    return "the target's Age header was lost";
  const auto age_us = answer.time_us - answer.measured_us;
  if (answer.age_s * kMicrosPerSecond > age_us + kMicrosPerSecond)
    return "the Age header was changed";
  return {};
}

}  // namespace

rule_verdict fresh_level_rule::Judge(const history_index& history,
                                     const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  if (history.targets().empty())
    return verdict;
  for (const auto& [id, request] : history.requests()) {
    // A recorded answer of a keyed request says that it is one; it is no level.
    if (request.answer == nullptr ||
        request.answer->body != answer_body::kWhole ||
        request.answer->result == static_cast<int>(result_code::kReplayed))
      continue;
    ++verdict.judged;
    if (auto fault = Fault(history, request); !fault.empty())
      verdict.findings.push_back(
          {std::move(fault), {request.sent, *request.answer}});
  }
  return verdict;
}

}  // namespace samphire
