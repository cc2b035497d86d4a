#include "history/refusal_rule.h"

#include <fmt/format.h>

#include "base/result_code.h"

namespace samphire {

namespace {

// Returns whether a refusal is decided when the request arrives. The others
// follow a wait for a slot, a target or a peer, and come by the deadline at the
// latest.
bool DecidedOnArrival(result_code code) {
  using enum result_code;
  switch (code) {
    case kQueueFull:
    case kDeadlineUnreachable:
    case kShedByPriority:
    case kTooManyConnections:
    case kEntryLeaving:
    case kNoConfiguration:
    case kConfigurationTooOld:
    case kUnknownService:
    case kUnknownPath:
    case kIdempotencyKeyMissing:
    case kBadIdempotencyKey:
    case kBadDeadline:
      return true;
    default:
      return false;
  }
}

// Describes what is wrong with a final answer; empty if nothing is.
std::string FindViolation(const indexed_request& request,
                          const history_limits& limits) {
  const auto& answer = *request.answer;
  const auto grace = microseconds(limits.refusal_limit).count();
  const auto deadline = microseconds(milliseconds(request.sent.deadline_ms));
  const auto code = ResultCodeOf(static_cast<int>(answer.result));
  if (answer.latency_us > deadline.count() + grace)
    return fmt::format("final answer only {} ms after the deadline",
                       (answer.latency_us - deadline.count()) / 1000);
  if (answer.body != answer_body::kRefusal || !code)
    return {};
  if (DecidedOnArrival(*code) && answer.latency_us > grace)
    return fmt::format("refused as {} only after {} ms", NameOf(*code),
                       answer.latency_us / 1000);
  if (InfoOf(*code).retryable && answer.retry_after_s < 0)
    return fmt::format("refused as {} without Retry-After", NameOf(*code));
  return {};
}

}  // namespace

rule_verdict refusal_rule::Judge(const history_index& history,
                                 const history_limits& limits) const {
  rule_verdict verdict{.rule = std::string(kName)};
  for (const auto& [id, request] : history.requests()) {
    if (request.answer == nullptr)
      continue;
    const auto body = request.answer->body;
    if (body != answer_body::kRefusal && body != answer_body::kAbandoned)
      continue;
    ++verdict.judged;
    if (auto violation = FindViolation(request, limits); !violation.empty())
      verdict.findings.push_back(
          {std::move(violation), {request.sent, *request.answer}});
  }
  return verdict;
}

}  // namespace samphire
