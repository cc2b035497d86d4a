#include "decision/crash_quarantine.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// Some requests crash every target that runs them, and their callers send them
// again: without a limit such a request takes down a service target by target,
// and with each target all requests that run on it. The pattern is a series of
// connections closed without a response, each for the same fingerprint. Two
// lost targets are required before a request is quarantined, since a single
// loss may be the target's own fault.
constexpr std::size_t kCrashesToQuarantine = 2;
// Requests lost on one target within this time count as one loss of that
// target.
constexpr duration kLossWindow = std::chrono::seconds(1);
// A suspect whose caller has not sent it again within this time is forgotten.
constexpr duration kSuspicionTime = std::chrono::minutes(10);
// Long enough for a program to be fixed or its operator to be called, and short
// enough that a fixed target receives its work again.
constexpr duration kQuarantineTime = std::chrono::hours(1);
// A response counts in favour of a request for as long as suspicion lasts.
constexpr duration kAnswerRetention = kSuspicionTime;
// Bounds on memory, about 2 MB in all. Suspects and quarantined requests are
// kept in maps of their own, apart from the many answered requests, so that
// ordinary traffic can't evict a suspect before its second crash.
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxQuarantined = 4096;
constexpr std::size_t kMaxAnswered = 8192;
constexpr std::size_t kMaxLosses = 1024;

// Decrements the count of `key`, erases it at zero and returns what is left.
template <typename K>
std::uint32_t Decrement(std::unordered_map<K, std::uint32_t>& counts,
                        const K& key) {
  const auto found = counts.find(key);
  if (found == counts.end())
    return 0;
  const std::uint32_t rest = --found->second;
  if (rest == 0)
    counts.erase(found);
  return rest;
}

}  // namespace

crash_quarantine::crash_quarantine()
    : suspects_(kMaxSuspects, kSuspicionTime),
      quarantined_(kMaxQuarantined, kQuarantineTime),
      answered_(kMaxAnswered, kAnswerRetention),
      losses_(kMaxLosses, kLossWindow) {}

quarantine_decision crash_quarantine::Decide(request_fingerprint fingerprint,
                                             time_point now) {
  if (quarantined_.Find(fingerprint, now) != nullptr)
    return quarantine_decision::kQuarantined;
  if (suspects_.Find(fingerprint, now) == nullptr)
    return quarantine_decision::kUnrestricted;
  // Two copies running on two targets at once could take down both before the
  // first loss is known.
  return running_.contains(fingerprint) ? quarantine_decision::kWait
                                        : quarantine_decision::kIsolate;
}

std::vector<std::string> crash_quarantine::TargetsLostWith(
    request_fingerprint fingerprint,
    time_point now) {
  std::vector<std::string> targets;
  if (const auto* known = suspects_.Find(fingerprint, now)) {
    for (const auto& each : known->crashes)
      targets.push_back(each.target);
  }
  return targets;
}

void crash_quarantine::OnAttemptStarted(request_fingerprint fingerprint,
                                        const std::string& target) {
  ++running_on_[target];
  ++running_[fingerprint];
}

std::optional<crash_notice> crash_quarantine::OnAttemptFinished(
    request_fingerprint fingerprint,
    const std::string& target,
    attempt_outcome outcome,
    time_point now) {
  Decrement(running_, fingerprint);
  const auto others = Decrement(running_on_, target);
  if (outcome == attempt_outcome::kOk ||
      outcome == attempt_outcome::kTargetError)
    Clear(fingerprint, now);
  if (outcome != attempt_outcome::kLost || StartedAfterLoss(target, now))
    return std::nullopt;
  const bool alone = RecordLoss(target, fingerprint, others > 0, now);
  RecordSuspect(fingerprint, target, alone, now);
  return crash_notice{fingerprint, target, alone};
}

void crash_quarantine::OnNotice(const crash_notice& notice, time_point now) {
  // Requests of this entry that run on the target are lost too, but their
  // outcomes have not been reported yet.
  const bool shared = !notice.alone || running_on_.contains(notice.target);
  const bool alone = RecordLoss(notice.target, notice.fingerprint, shared, now);
  RecordSuspect(notice.fingerprint, notice.target, alone, now);
}

// A target that is going down still accepts connections for a moment and then
// drops them. A request sent to it in that moment is lost but did not cause the
// crash, and it must not make the request that did look as if it had shared the
// target. Without this check a plain read that arrived just after the crash of
// two targets was quarantined, while the request that had crashed them was not.
// Attempts that ran at the time of the loss report their outcome first, so
// those that report later had started after it.
bool crash_quarantine::StartedAfterLoss(const std::string& target,
                                        time_point now) {
  auto* event = losses_.Find(target, now);
  if (event == nullptr)
    return false;
  if (event->pending_outcomes == 0)
    return true;
  --event->pending_outcomes;
  return false;
}

// The requests lost with a target are reported one after the other, and by
// several entries, so the last of them seems to have run alone by the count of
// running attempts. The record of the loss keeps whether it was shared, and
// corrects the first request reported as well.
bool crash_quarantine::RecordLoss(const std::string& target,
                                  request_fingerprint fingerprint,
                                  bool shared,
                                  time_point now) {
  bool added = false;
  auto& event = losses_.Touch(target, now, &added);
  if (added) {
    ++targets_lost_;
    event.first_suspect = fingerprint;
    const auto running = running_on_.find(target);
    event.pending_outcomes = running == running_on_.end() ? 0 : running->second;
  }
  const bool was_shared = event.shared;
  event.shared = event.shared || shared || event.first_suspect != fingerprint;
  if (event.shared && !was_shared) {
    if (auto* first = suspects_.Find(event.first_suspect, now)) {
      for (auto& each : first->crashes) {
        if (each.target == target)
          each.alone = false;
      }
    }
  }
  return !event.shared;
}

void crash_quarantine::RecordSuspect(request_fingerprint fingerprint,
                                     const std::string& target,
                                     bool alone,
                                     time_point now) {
  auto& known = suspects_.Touch(fingerprint, now);
  auto& crashes = known.crashes;
  const auto same = std::find_if(
      crashes.begin(), crashes.end(),
      [&](const crash_record& each) { return each.target == target; });
  if (same != crashes.end())
    same->alone = same->alone || alone;
  else if (crashes.size() < 2 * kCrashesToQuarantine)
    crashes.push_back({target, alone});
  const bool answered = answered_.Find(fingerprint, now) != nullptr;
  if (MeetsQuarantineThreshold(crashes, answered)) {
    quarantined_.Touch(fingerprint, now);
    suspects_.Erase(fingerprint);
  }
}

// A poll that every control room sends runs on many targets at any time, so two
// crashes caused by another request may count against it twice. It differs from
// the request that caused them in that it has been answered; so a shared loss
// counts against a request only if no response to it is on record.
bool crash_quarantine::MeetsQuarantineThreshold(
    const std::vector<crash_record>& crashes,
    bool answered) const {
  const auto counted = std::count_if(
      crashes.begin(), crashes.end(),
      [&](const crash_record& each) { return each.alone || !answered; });
  return static_cast<std::size_t>(counted) >= kCrashesToQuarantine;
}

// A complete response clears a request, even one that was quarantined while
// this attempt was running: a request that crashes every target never gets one.
void crash_quarantine::Clear(request_fingerprint fingerprint, time_point now) {
  answered_.Touch(fingerprint, now);
  suspects_.Erase(fingerprint);
  quarantined_.Erase(fingerprint);
}

}  // namespace samphire
