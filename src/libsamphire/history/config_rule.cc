#include "history/config_rule.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/result_code.h"

namespace samphire {

namespace {

// That an entry had a version in force at some time between two others.
struct sighting {
  history_time asked_us = 0;
  history_time told_us = 0;
  std::string entry;
  std::int64_t version = 0;
  std::vector<history_event> events{};
};

// An entry that starts anew refuses everything until a version is confirmed,
// and says so with version 0. That is no older configuration in force: nothing
// is done by it. Version 0 with any other answer stays a sighting.
bool RefusedWithoutAny(const request_answered& answer) {
  return answer.config_version == 0 && answer.body == answer_body::kRefusal &&
         answer.claim == run_claim::kNotRun &&
         answer.result == static_cast<int>(result_code::kNoConfiguration);
}

std::vector<sighting> FindSightings(const history_index& history) {
  std::vector<sighting> sightings;
  for (const auto* seen : history.All<config_seen>())
    sightings.push_back(
        {seen->asked_us, seen->time_us, seen->entry, seen->version, {*seen}});
  for (const auto& [id, request] : history.requests()) {
    if (request.answer != nullptr && request.answer->config_version >= 0 &&
        !RefusedWithoutAny(*request.answer))
      sightings.push_back({request.sent.time_us,
                           request.answer->time_us,
                           request.sent.entry,
                           request.answer->config_version,
                           {request.sent, *request.answer}});
  }
  return sightings;
}

// The highest version told before a time. Only a sighting that was asked for
// after another was told is certainly the later one: answers overtake.
class highest_told {
 public:
  explicit highest_told(std::vector<const sighting*> sightings)
      : by_told_(std::move(sightings)) {
    std::sort(by_told_.begin(), by_told_.end(),
              [](auto* a, auto* b) { return a->told_us < b->told_us; });
  }

  // Times must not go back from call to call.
  const sighting* Before(history_time time_us) {
    for (; next_ < by_told_.size() && by_told_[next_]->told_us < time_us;
         ++next_) {
      if (highest_ == nullptr || by_told_[next_]->version > highest_->version)
        highest_ = by_told_[next_];
    }
    return highest_;
  }

 private:
  std::vector<const sighting*> by_told_;
  std::size_t next_ = 0;
  const sighting* highest_ = nullptr;
};

void JudgeNeverBack(std::vector<const sighting*> of_entry,
                    rule_verdict& verdict) {
  highest_told told(of_entry);
  std::sort(of_entry.begin(), of_entry.end(),
            [](auto* a, auto* b) { return a->asked_us < b->asked_us; });
  for (const auto* later : of_entry) {
    const auto* earlier = told.Before(later->asked_us);
    if (earlier == nullptr || earlier->version <= later->version)
      continue;
    rule_finding finding{
        fmt::format("{} went back from version {} to {}", later->entry,
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
  const auto sightings = FindSightings(history);
  verdict.judged = sightings.size();
  std::map<std::string, std::vector<const sighting*>> by_entry;
  for (const auto& seen : sightings)
    by_entry[seen.entry].push_back(&seen);
  for (const auto& [entry, of_entry] : by_entry)
    JudgeNeverBack(of_entry, verdict);
  const auto allowed = microseconds(limits.in_force).count();
  for (const auto* accepted : history.All<config_accepted>()) {
    for (const auto& seen : sightings) {
      if (seen.version >= accepted->version ||
          seen.asked_us <= accepted->time_us + allowed)
        continue;
      rule_finding finding{
          fmt::format("{} still had version {} {} ms after {} was accepted",
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
