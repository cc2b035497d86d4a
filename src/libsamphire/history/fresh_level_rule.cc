#include "history/fresh_level_rule.h"

#include <fmt/format.h>

#include "base/result_code.h"

namespace samphire {

namespace {

constexpr history_time kMicrosPerSecond = 1'000'000;

// Describes what is wrong with an answer; empty if nothing is.
std::string FindViolation(const history_index& history,
                          const indexed_request& request) {
  const auto& answer = *request.answer;
  const auto run = history.runs().find(answer.target_run);
  if (run == history.runs().end())
    return "the answer names a run that no target recorded";
  if (run->second.end != nullptr &&
      run->second.end->measured_us != answer.measured_us)
    return "the measurement time of the answer differs from that of its run";
  if (run->second.start.time_us < request.sent.time_us)
    return fmt::format("the level was measured {} ms before it was requested",
                       (request.sent.time_us - answer.measured_us) / 1000);
  // Without an Age header, or with one that understates the age, an outdated
  // level looks safe. Only a missing header, and one that overstates the age by
  // more than its resolution of a second, are detected here.
  if (answer.age_s < 0)
    return "the Age header of the target is missing";
  const auto age_us = answer.time_us - answer.measured_us;
  if (answer.age_s * kMicrosPerSecond > age_us + kMicrosPerSecond)
    return "the Age header exceeds the age of the measurement";
  return {};
}

}  // namespace

rule_verdict fresh_level_rule::Judge(const history_index& history,
                                     const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  if (history.targets().empty())
    return verdict;
  for (const auto& [id, request] : history.requests()) {
    // The answer to a request with an idempotency key may be replayed from the
    // ledger; it is marked as replayed and is not a current level.
    if (request.answer == nullptr ||
        request.answer->body != answer_body::kComplete ||
        request.answer->result == static_cast<int>(result_code::kReplayed))
      continue;
    ++verdict.judged;
    if (auto violation = FindViolation(history, request); !violation.empty())
      verdict.findings.push_back(
          {std::move(violation), {request.sent, *request.answer}});
  }
  return verdict;
}

}  // namespace samphire
