#include "decision/crash_quarantine.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "decision/crash_quarantine_times.h"

namespace samphire {

namespace {

// Some requests crash every target that runs them, and their callers send them
// again: without a limit such a request takes down a service target by target,
// and with each target all requests that run on it. The pattern is a series of
// connections closed without a response, each for the same fingerprint. Two
// lost targets are required before a request is quarantined, since a single
// loss may be the target's own fault.
constexpr std::size_t kCrashesToQuarantine = 2;
// Losses of a request after which it is not tried again, whatever was lost with
// it.
constexpr std::size_t kMaxTrialCrashes = 5;
// Losses kept for each suspect, the latest ones.
constexpr std::size_t kMaxKeptCrashes = 16;
// Unit of the time for which a request that was lost with two targets or more,
// each time beside others, is refused before it is tried again.
constexpr milliseconds kTrialPause{500};
constexpr std::uint64_t kTrialSlots = 4;
// Requests lost on one target within this time count as one loss of that
// target.
constexpr duration kLossWindow = std::chrono::seconds(1);
// A response counts in favour of a request for as long as suspicion lasts.
constexpr duration kAnswerRetention = kSuspicionTime;
// Bounds on memory, about 2 MB in all. Suspects and quarantined requests are
// kept in maps of their own, apart from the many answered requests, so that
// ordinary traffic can't evict a suspect before its second crash.
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxQuarantined = 4096;
constexpr std::size_t kMaxAnswered = 8192;
constexpr std::size_t kMaxLosses = 1024;
constexpr std::size_t kMaxReleased = 256;
// Less than a crashed target takes to start again.
constexpr duration kMinRestartTime = std::chrono::seconds(2);

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

// Copies of a poll run on many targets at any time. If several of these go down
// at once, for whatever reason, all copies are lost together, which says no
// more against the poll than one loss. So a loss counts only if its run began
// after the loss before it: a request that crashes targets does so again and
// again. The longest such series of the losses that `counts` selects is the
// same in whatever order entries hear of them. `crashes` are ordered by the
// time of the loss.
template <typename Crash, typename Predicate>
std::vector<Crash> LongestSeries(const std::vector<Crash>& crashes,
                                 Predicate counts) {
  std::vector<Crash> series;
  for (const auto& each : crashes) {
    if (counts(each) &&
        (series.empty() || each.started_at >= series.back().lost_at))
      series.push_back(each);
  }
  return series;
}

// Returns the time until the next trial. Requests that were lost together are
// tried at different times, so that the next loss tells them apart.
duration TrialPause(request_fingerprint fingerprint, std::size_t crashes) {
  const auto round = crashes - kCrashesToQuarantine;
  const auto slot = (fingerprint >> (2 * round)) % kTrialSlots;
  return kTrialPause * ((1U << round) * (1 + slot));
}

}  // namespace

crash_quarantine::crash_quarantine()
    : suspects_(kMaxSuspects, kSuspicionTime),
      quarantined_(kMaxQuarantined, kQuarantineTime),
      answered_(kMaxAnswered, kAnswerRetention),
      losses_(kMaxLosses, kLossWindow),
      lost_at_(kMaxLosses, kMinRestartTime) {}

quarantine_decision crash_quarantine::Decide(request_fingerprint fingerprint,
                                             time_point now) {
  if (IsQuarantined(fingerprint, now))
    return quarantine_decision::kQuarantined;
  const auto* known = suspects_.Find(fingerprint, now);
  if (known == nullptr)
    return quarantine_decision::kUnrestricted;
  if (now < known->refused_until)
    return quarantine_decision::kQuarantined;
  // Two copies running on two targets at once could take down both before the
  // first loss is known. A poll that has been answered rarely is the cause, and
  // making its callers wait for each other would refuse most of them.
  const bool answered = answered_.Find(fingerprint, now) != nullptr;
  return running_.contains(fingerprint) && !answered
             ? quarantine_decision::kWait
             : quarantine_decision::kIsolate;
}

bool crash_quarantine::IsQuarantined(request_fingerprint fingerprint,
                                     time_point now) {
  const auto* term = quarantined_.Find(fingerprint, now);
  return term != nullptr && now < term->ends_at;
}

duration crash_quarantine::RefusedFor(request_fingerprint fingerprint,
                                      time_point now) {
  if (const auto* term = quarantined_.Find(fingerprint, now))
    return std::max(duration{0}, term->ends_at - now);
  if (const auto* known = suspects_.Find(fingerprint, now))
    return std::max(duration{0}, known->refused_until - now);
  return duration{0};
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
    time_point now,
    duration ran) {
  Decrement(running_, fingerprint);
  const auto others = Decrement(running_on_, target);
  // An error is no proof of innocence: at its time limit, a target responds
  // with one before the request has done its harm.
  if (outcome == attempt_outcome::kOk)
    Clear(fingerprint, now);
  if (outcome != attempt_outcome::kLost || StartedAfterLoss(target, now))
    return std::nullopt;
  const bool alone = RecordLoss(target, fingerprint, others > 0, now);
  RecordSuspect(fingerprint, {target, alone, now - ran, now}, now);
  const auto ran_ms = std::chrono::duration_cast<milliseconds>(ran).count();
  return crash_notice{.fingerprint = fingerprint,
                      .target = target,
                      .alone = alone,
                      .ran_ms = static_cast<std::uint32_t>(ran_ms)};
}

void crash_quarantine::OnNotice(const crash_notice& notice, time_point now) {
  const auto lost_at = now - milliseconds(notice.age_ms);
  bool alone = notice.alone;
  // What runs here by now started after an earlier loss.
  if (now - lost_at < kLossWindow) {
    // Requests of this entry that run on the target are lost too, but their
    // outcomes have not been reported yet.
    const bool shared = !notice.alone || running_on_.contains(notice.target);
    alone = RecordLoss(notice.target, notice.fingerprint, shared, now);
  }
  const auto started_at = lost_at - milliseconds(notice.ran_ms);
  RecordSuspect(notice.fingerprint, {notice.target, alone, started_at, lost_at},
                now);
}

// When the connections of many entries break at once, or a domain goes down,
// each request in progress looks as if it had crashed its target.
bool crash_quarantine::OnTargetResponded(const std::string& target,
                                         time_point sent_at,
                                         time_point now) {
  const auto* lost_at = lost_at_.Find(target, now);
  if (lost_at == nullptr || sent_at <= *lost_at)
    return false;
  OnTargetAlive(target);
  return true;
}

void crash_quarantine::OnTargetAlive(const std::string& target) {
  lost_at_.Erase(target);
  losses_.Erase(target);
  ForgetLossesOf(target);
}

void crash_quarantine::ForgetLossesOf(const std::string& target) {
  ForgetSharedLosses({target});
  std::vector<request_fingerprint> released;
  quarantined_.ForEach([&](request_fingerprint fingerprint, const auto& term) {
    if (std::ranges::find(term.targets, target) != term.targets.end())
      released.push_back(fingerprint);
  });
  for (const auto fingerprint : released)
    Release(fingerprint);
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
    lost_at_.Touch(target, now) = now;
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

void crash_quarantine::AddCrash(std::vector<crash_record>& crashes,
                                const crash_record& crash) {
  const auto same =
      std::ranges::find(crashes, crash.target, &crash_record::target);
  if (same != crashes.end()) {
    same->alone = same->alone || crash.alone;
    return;
  }
  const auto later = std::ranges::upper_bound(
      crashes, crash.lost_at, std::ranges::less{}, &crash_record::lost_at);
  crashes.insert(later, crash);
  if (crashes.size() > kMaxKeptCrashes)
    crashes.erase(crashes.begin());
}

void crash_quarantine::RecordSuspect(request_fingerprint fingerprint,
                                     const crash_record& crash,
                                     time_point now) {
  if (IsQuarantined(fingerprint, now))
    return;
  auto& known = suspects_.Touch(fingerprint, now);
  const auto counted_before =
      CountedCrashes(fingerprint, known.crashes, now).size();
  AddCrash(known.crashes, crash);
  const auto counted = CountedCrashes(fingerprint, known.crashes, now);
  if (counted.size() < kCrashesToQuarantine)
    return;
  const auto alone = LongestSeries(
      known.crashes, [](const crash_record& each) { return each.alone; });
  const bool is_cause = alone.size() >= kCrashesToQuarantine ||
                        counted.size() >= kMaxTrialCrashes ||
                        (counted.size() > kCrashesToQuarantine &&
                         !HasRival(fingerprint, counted));
  if (is_cause) {
    Quarantine(fingerprint, known.crashes, now);
    return;
  }
  // A copy that is lost beside these losses is no reason for a longer pause.
  if (counted.size() > counted_before)
    known.refused_until = now + TrialPause(fingerprint, counted.size());
}

// A poll that every control room sends runs on many targets at any time, so two
// crashes caused by another request may count against it twice. It differs from
// the request that caused them in that it has been answered; so a shared loss
// counts against a request only if no response to it is on record.
std::vector<crash_quarantine::crash_record> crash_quarantine::CountedCrashes(
    request_fingerprint fingerprint,
    const std::vector<crash_record>& crashes,
    time_point now) {
  const bool answered = answered_.Find(fingerprint, now) != nullptr;
  return LongestSeries(crashes, [&](const crash_record& each) {
    return each.alone || !answered;
  });
}

bool crash_quarantine::HasRival(request_fingerprint fingerprint,
                                const std::vector<crash_record>& crashes) {
  bool found = false;
  suspects_.ForEach([&](request_fingerprint other, const suspect& each) {
    const auto was_lost_with = [&](const crash_record& crash) {
      return std::ranges::any_of(each.crashes, [&](const auto& its) {
        return its.target == crash.target;
      });
    };
    found |=
        other != fingerprint && std::ranges::all_of(crashes, was_lost_with);
  });
  return found;
}

void crash_quarantine::Quarantine(request_fingerprint fingerprint,
                                  const std::vector<crash_record>& crashes,
                                  time_point now) {
  std::vector<std::string> targets;
  std::ranges::transform(crashes, std::back_inserter(targets),
                         &crash_record::target);
  suspects_.Erase(fingerprint);
  ForgetSharedLosses(targets);
  quarantined_.Touch(fingerprint, now) = {.ends_at = now + kQuarantineTime,
                                          .targets = std::move(targets)};
}

// A request that was sent for the first time beside the one that crashes
// targets looks just like it. Once the cause of the losses is known, the others
// are free.
void crash_quarantine::ForgetSharedLosses(
    const std::vector<std::string>& targets) {
  std::vector<request_fingerprint> cleared;
  suspects_.ForEach([&](request_fingerprint fingerprint, suspect& each) {
    const auto explained = std::erase_if(each.crashes, [&](const auto& crash) {
      return std::ranges::find(targets, crash.target) != targets.end();
    });
    if (explained > 0)
      each.refused_until = {};
    if (each.crashes.empty())
      cleared.push_back(fingerprint);
  });
  for (const auto fingerprint : cleared)
    suspects_.Erase(fingerprint);
}

// A complete response clears a request, even one that was quarantined while
// this attempt was running: a request that crashes every target never gets one.
void crash_quarantine::Clear(request_fingerprint fingerprint, time_point now) {
  answered_.Touch(fingerprint, now);
  Release(fingerprint);
}

void crash_quarantine::Release(request_fingerprint fingerprint) {
  const bool suspected = suspects_.Erase(fingerprint);
  const bool quarantined = quarantined_.Erase(fingerprint);
  if (!suspected && !quarantined)
    return;
  if (released_.size() < kMaxReleased)
    released_.push_back(fingerprint);
}

}  // namespace samphire
