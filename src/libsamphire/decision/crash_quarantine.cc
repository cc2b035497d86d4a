#include "decision/crash_quarantine.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// Now and then a request crashes each target that runs it, and its caller sends
// it again: left alone, it takes down a service target by target, and with each
// one all that runs there. It shows as connections closed without an answer,
// with the same fingerprint each time. Two targets are the price of certainty:
// one loss may be the target's own.
constexpr std::size_t kTargetsToConvict = 2;
// Requests lost on one target within this time are one loss of it.
constexpr duration kSameLoss = std::chrono::seconds(1);
// A suspect whose caller has not come back in this time is forgotten.
constexpr duration kSuspectFor = std::chrono::minutes(10);
// Long enough that a program is mended or its operator called, and short enough
// that a mended target gets its work again.
constexpr duration kQuarantineFor = std::chrono::hours(1);
// An answer speaks for a request as long as suspicion lasts.
constexpr duration kAnsweredFor = kSuspectFor;
// Bounds on memory, about 2 MB in all. Suspects and convicts are kept apart
// from the many that are answered, so that ordinary traffic can't push a
// suspect out before its second crash.
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kMaxConvicts = 4096;
constexpr std::size_t kMaxAnswered = 8192;
constexpr std::size_t kMaxLosses = 1024;

// Takes one from the count of `key` and returns the rest.
template <typename K>
std::uint32_t CountDown(std::unordered_map<K, std::uint32_t>& counts,
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
    : suspects_(kMaxSuspects, kSuspectFor),
      convicts_(kMaxConvicts, kQuarantineFor),
      answered_(kMaxAnswered, kAnsweredFor),
      losses_(kMaxLosses, kSameLoss) {}

crash_verdict crash_quarantine::Judge(request_fingerprint fingerprint,
                                      time_point now) {
  if (convicts_.Find(fingerprint, now) != nullptr)
    return crash_verdict::kQuarantined;
  if (suspects_.Find(fingerprint, now) == nullptr)
    return crash_verdict::kInnocent;
  // Two copies on two targets at once could take down both before the first
  // loss is known.
  return running_.contains(fingerprint) ? crash_verdict::kWait
                                        : crash_verdict::kIsolate;
}

std::vector<std::string> crash_quarantine::LostWith(
    request_fingerprint fingerprint,
    time_point now) {
  std::vector<std::string> targets;
  if (const auto* known = suspects_.Find(fingerprint, now)) {
    for (const auto& each : known->marks)
      targets.push_back(each.target);
  }
  return targets;
}

void crash_quarantine::Started(request_fingerprint fingerprint,
                               const std::string& target) {
  ++running_on_[target];
  ++running_[fingerprint];
}

std::optional<crash_notice> crash_quarantine::Finished(
    request_fingerprint fingerprint,
    const std::string& target,
    attempt_outcome outcome,
    time_point now) {
  CountDown(running_, fingerprint);
  const auto others = CountDown(running_on_, target);
  if (outcome == attempt_outcome::kOk ||
      outcome == attempt_outcome::kTargetError)
    Acquit(fingerprint, now);
  if (outcome != attempt_outcome::kLost || CameAfterLoss(target, now))
    return std::nullopt;
  const bool alone = NoteLoss(target, fingerprint, others > 0, now);
  Mark(fingerprint, target, alone, now);
  return crash_notice{fingerprint, target, alone};
}

void crash_quarantine::OnNotice(const crash_notice& notice, time_point now) {
  // What runs there from this entry is lost too, but is not told yet.
  const bool shared = !notice.alone || running_on_.contains(notice.target);
  const bool alone = NoteLoss(notice.target, notice.fingerprint, shared, now);
  Mark(notice.fingerprint, notice.target, alone, now);
}

// A target that is going down still takes connections for a moment and drops
// them. What is sent there then is lost, but has brought nothing down; and it
// must not make the request that did look as if it had not been alone. In a
// run with real processes a plain read came just behind the crash of two
// targets and was in quarantine for it, while the request that crashed them
// went free. Attempts that ran at the time of the loss are told first, so
// those that come after them began after it.
bool crash_quarantine::CameAfterLoss(const std::string& target,
                                     time_point now) {
  auto* event = losses_.Find(target, now);
  if (event == nullptr)
    return false;
  if (event->exposed == 0)
    return true;
  --event->exposed;
  return false;
}

// The requests that went down with a target are told one after the other, and
// by several entries, so the last of them looks alone by the count of what
// runs. The record of the loss knows better, also of the first one told.
bool crash_quarantine::NoteLoss(const std::string& target,
                                request_fingerprint fingerprint,
                                bool shared,
                                time_point now) {
  bool added = false;
  auto& event = losses_.Touch(target, now, &added);
  if (added) {
    ++targets_lost_;
    event.first_suspect = fingerprint;
    const auto running = running_on_.find(target);
    event.exposed = running == running_on_.end() ? 0 : running->second;
  }
  const bool was_shared = event.shared;
  event.shared = event.shared || shared || event.first_suspect != fingerprint;
  if (event.shared && !was_shared) {
    if (auto* first = suspects_.Find(event.first_suspect, now)) {
      for (auto& each : first->marks) {
        if (each.target == target)
          each.alone = false;
      }
    }
  }
  return !event.shared;
}

void crash_quarantine::Mark(request_fingerprint fingerprint,
                            const std::string& target,
                            bool alone,
                            time_point now) {
  auto& known = suspects_.Touch(fingerprint, now);
  auto& marks = known.marks;
  const auto same =
      std::find_if(marks.begin(), marks.end(),
                   [&](const mark& each) { return each.target == target; });
  if (same != marks.end())
    same->alone = same->alone || alone;
  else if (marks.size() < 2 * kTargetsToConvict)
    marks.push_back({target, alone});
  const bool answered = answered_.Find(fingerprint, now) != nullptr;
  if (IsConvictedBy(marks, answered)) {
    convicts_.Touch(fingerprint, now);
    suspects_.Erase(fingerprint);
  }
}

// A poll that every screen sends is on many targets at any time, so two crashes
// by another request may mark it twice. It differs from the one that crashed
// them in that it has been answered; so a loss that it shared counts against a
// request only if no answer of it is on record.
bool crash_quarantine::IsConvictedBy(const std::vector<mark>& marks,
                                     bool answered) const {
  const auto against =
      std::count_if(marks.begin(), marks.end(),
                    [&](const mark& each) { return each.alone || !answered; });
  return static_cast<std::size_t>(against) >= kTargetsToConvict;
}

// A whole answer clears a request, even one convicted while this run of it was
// under way: what crashes each target never gets one.
void crash_quarantine::Acquit(request_fingerprint fingerprint, time_point now) {
  answered_.Touch(fingerprint, now);
  suspects_.Erase(fingerprint);
  convicts_.Erase(fingerprint);
}

}  // namespace samphire
