#include "history/own_answer_rule.h"

#include <fmt/format.h>

#include "base/result_code.h"

namespace samphire {

namespace {

// Returns whether an answer belongs to the request. A replayed answer is that
// of the attempt that ran, with the same service and idempotency key.
bool IsOwnOrReplayed(const history_index& history,
                     const indexed_request& request) {
  const auto& answer = *request.answer;
  if (answer.echo_id == answer.id)
    return true;
  if (answer.result != static_cast<int>(result_code::kReplayed) ||
      request.sent.key.empty())
    return false;
  const auto first = history.requests().find(answer.echo_id);
  return first != history.requests().end() &&
         first->second.sent.service == request.sent.service &&
         first->second.sent.key == request.sent.key;
}

}  // namespace

rule_verdict own_answer_rule::Judge(const history_index& history,
                                    const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  for (const auto& [id, request] : history.requests()) {
    if (request.answer == nullptr)
      continue;
    const auto& answer = *request.answer;
    if (answer.body != answer_body::kComplete &&
        answer.body != answer_body::kCorrupt)
      continue;
    ++verdict.judged;
    if (answer.body == answer_body::kCorrupt) {
      verdict.findings.push_back(
          {"an answer looks complete, but its bytes differ from the target's",
           {request.sent, answer}});
    } else if (!IsOwnOrReplayed(history, request)) {
      verdict.findings.push_back(
          {fmt::format("request {} got the answer to request {}", id,
                       answer.echo_id),
           {request.sent, answer}});
    }
  }
  return verdict;
}

}  // namespace samphire
