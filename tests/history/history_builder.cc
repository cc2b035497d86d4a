#include "history_builder.h"

#include <algorithm>
#include <stdexcept>

namespace samphire {

history_builder& history_builder::Answered(const std::string& id,
                                           history_time sent_ms,
                                           history_time answered_ms,
                                           const std::string& target,
                                           const std::string& key) {
  const auto run = next_run_++;
  Add(request_sent{.time_us = Ms(sent_ms),
                   .id = id,
                   .service = "s",
                   .request_class = "level",
                   .key = key,
                   .home = "east",
                   .entry = "entry-1",
                   .deadline_ms = 100});
  Run(run, target, id, sent_ms, answered_ms, key);
  return Add(request_answered{.time_us = Ms(answered_ms),
                              .id = id,
                              .status = 200,
                              .result = 0,
                              .claim = run_claim::kRan,
                              .config_version = 3,
                              .body = answer_body::kComplete,
                              .echo_id = id,
                              .target_run = run,
                              .measured_us = Ms(answered_ms),
                              .age_s = 0,
                              .latency_us = Ms(answered_ms - sent_ms)});
}

history_builder& history_builder::Run(std::int64_t run,
                                      const std::string& target,
                                      const std::string& id,
                                      history_time from_ms,
                                      history_time to_ms,
                                      const std::string& key,
                                      run_outcome outcome) {
  Add(run_started{.time_us = Ms(from_ms),
                  .target = target,
                  .run = run,
                  .request_id = id,
                  .key = key});
  return Add(run_ended{.time_us = Ms(to_ms),
                       .target = target,
                       .run = run,
                       .outcome = outcome,
                       .measured_us = Ms(to_ms)});
}

history_builder& history_builder::Add(history_event event) {
  events_.push_back(std::move(event));
  return *this;
}

std::vector<history_event> history_builder::events() const {
  auto sorted = events_;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const auto& a, const auto& b) { return TimeOf(a) < TimeOf(b); });
  return sorted;
}

rule_verdict history_builder::Judge(std::string_view rule) const {
  const auto all = events();
  for (auto& verdict : JudgeHistory(all, {})) {
    if (verdict.rule == rule)
      return verdict;
  }
  throw std::logic_error("no rule of this name");
}

}  // namespace samphire
