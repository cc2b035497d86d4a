#include "history/own_answer_rule.h"

#include <fmt/format.h>

#include "base/result_code.h"

namespace samphire {

namespace {

// A recorded answer is that of the first sending with the same key.
bool OwnOrReplayed(const history_index& history,
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
    if (answer.body != answer_body::kWhole &&
        answer.body != answer_body::kCorrupt)
      continue;
    ++verdict.judged;
    if (answer.body == answer_body::kCorrupt) {
      verdict.findings.push_back(
          {"an answer looks whole, but its bytes are not the target's",
           {request.sent, answer}});
    } else if (!OwnOrReplayed(history, request)) {
      verdict.findings.push_back(
          {fmt::format("{} got the answer to {}", id, answer.echo_id),
           {request.sent, answer}});
    }
  }
  return verdict;
}

}  // namespace samphire
