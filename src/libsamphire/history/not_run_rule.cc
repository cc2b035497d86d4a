#include "history/not_run_rule.h"

namespace samphire {

rule_verdict not_run_rule::Judge(const history_index& history,
                                 const history_limits&) const {
  rule_verdict verdict{.rule = std::string(kName)};
  // Runs are recorded by targets; without a history of any target there is no
  // evidence.
  if (history.targets().empty())
    return verdict;
  for (const auto& [id, request] : history.requests()) {
    if (request.answer == nullptr ||
        request.answer->claim != run_claim::kNotRun)
      continue;
    ++verdict.judged;
    if (!request.runs.empty()) {
      verdict.findings.push_back(
          {"reported as not-run, but it ran",
           {request.sent, *request.answer,
            history.runs().at(request.runs.front()).start}});
    }
  }
  return verdict;
}

}  // namespace samphire
