#include "history/config_rule.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/result_code.h"

namespace samphire {

namespace {

// Evidence that an entry had a version in force at some time between two
// others: when it was asked and when it answered.
struct version_observation {
  history_time asked_us = 0;
  history_time answered_us = 0;
  std::string entry;
  std::int64_t version = 0;
  std::vector<history_event> events{};
};

// Returns whether an answer is the refusal of an entry without a configuration.
// A restarted entry refuses everything until a version is confirmed, and
// reports this as version 0. This does not count as an older configuration in
// force, since no request is handled by it. Version 0 with any other answer
// counts.
bool IsRefusalWithoutConfiguration(const request_answered& answer) {
  return answer.config_version == 0 && answer.body == answer_body::kRefusal &&
         answer.claim == run_claim::kNotRun &&
         answer.result == static_cast<int>(result_code::kNoConfiguration);
}

std::vector<version_observation> FindObservations(
    const history_index& history) {
  std::vector<version_observation> observations;
  for (const auto* seen : history.All<config_seen>())
    observations.push_back(
        {seen->asked_us, seen->time_us, seen->entry, seen->version, {*seen}});
  for (const auto& [id, request] : history.requests()) {
    if (request.answer != nullptr && request.answer->config_version >= 0 &&
        !IsRefusalWithoutConfiguration(*request.answer))
      observations.push_back({request.sent.time_us,
                              request.answer->time_us,
                              request.sent.entry,
                              request.answer->config_version,
                              {request.sent, *request.answer}});
  }
  return observations;
}

// Finds the highest version that was reported before a time. An observation is
// certainly later than another only if it was requested after the other was
// answered, since answers may overtake each other.
class highest_reported_version {
 public:
  explicit highest_reported_version(
      std::vector<const version_observation*> observations)
      : by_answer_time_(std::move(observations)) {
    std::sort(by_answer_time_.begin(), by_answer_time_.end(),
              [](auto* a, auto* b) { return a->answered_us < b->answered_us; });
  }

  // Returns null if there is none. Times must not decrease from call to call.
  const version_observation* Before(history_time time_us) {
    for (; next_ < by_answer_time_.size() &&
           by_answer_time_[next_]->answered_us < time_us;
         ++next_) {
      if (highest_ == nullptr ||
          by_answer_time_[next_]->version > highest_->version)
        highest_ = by_answer_time_[next_];
    }
    return highest_;
  }

 private:
  std::vector<const version_observation*> by_answer_time_;
  std::size_t next_ = 0;
  const version_observation* highest_ = nullptr;
};

// Finds versions of one entry that are lower than an earlier one.
void JudgeMonotonic(std::vector<const version_observation*> of_entry,
                    rule_verdict& verdict) {
  highest_reported_version reported(of_entry);
  std::sort(of_entry.begin(), of_entry.end(),
            [](auto* a, auto* b) { return a->asked_us < b->asked_us; });
  for (const auto* later : of_entry) {
    const auto* earlier = reported.Before(later->asked_us);
    if (earlier == nullptr || earlier->version <= later->version)
      continue;
    rule_finding finding{
        fmt::format("{} reverted from version {} to {}", later->entry,
                    earlier->version, later->version),
        earlier->events};
    finding.events.insert(finding.events.end(), later->events.begin(),
                          later->events.end());
    verdict.findings.push_back(std::move(finding));
  }
}

}  // namespace

rule_verdict config_rule::Judge(const history_index& history,
                                const history_limits& limits) const {
  rule_verdict verdict{.rule = std::string(kName)};
  const auto observations = FindObservations(history);
  verdict.judged = observations.size();
  std::map<std::string, std::vector<const version_observation*>> by_entry;
  for (const auto& seen : observations)
    by_entry[seen.entry].push_back(&seen);
  for (const auto& [entry, of_entry] : by_entry)
    JudgeMonotonic(of_entry, verdict);
  const auto allowed = microseconds(limits.config_limit).count();
  for (const auto* accepted : history.All<config_accepted>()) {
    for (const auto& seen : observations) {
      if (seen.version >= accepted->version ||
          seen.asked_us <= accepted->time_us + allowed)
        continue;
      rule_finding finding{
          fmt::format("{} still used version {} {} ms after {} was accepted",
                      seen.entry, seen.version,
                      (seen.asked_us - accepted->time_us) / 1000,
                      accepted->version),
          {*accepted}};
      finding.events.insert(finding.events.end(), seen.events.begin(),
                            seen.events.end());
      verdict.findings.push_back(std::move(finding));
    }
  }
  return verdict;
}

}  // namespace samphire
