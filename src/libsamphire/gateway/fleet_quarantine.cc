#include "gateway/synchronized_quarantine.h"

#include <optional>
#include <utility>

#include "base/log.h"

namespace samphire {

synchronized_quarantine::synchronized_quarantine(const clock_source& clock,
                                                 notice_sink sink)
    : clock_(clock), sink_(std::move(sink)) {}

quarantine_decision synchronized_quarantine::DecisionFor(
    request_fingerprint fingerprint) {
  std::lock_guard guard(lock_);
  return quarantine_.Decide(fingerprint, clock_.now());
}

std::vector<std::string> synchronized_quarantine::LostTargets(
    request_fingerprint fingerprint) {
  std::lock_guard guard(lock_);
  return quarantine_.TargetsLostWith(fingerprint, clock_.now());
}

void synchronized_quarantine::AttemptStarted(request_fingerprint fingerprint,
                                             const std::string& target) {
  std::lock_guard guard(lock_);
  quarantine_.OnAttemptStarted(fingerprint, target);
}

void synchronized_quarantine::AttemptFinished(request_fingerprint fingerprint,
                                              const std::string& target,
                                              attempt_outcome outcome) {
  std::optional<crash_notice> notice;
  {
    std::lock_guard guard(lock_);
    notice = quarantine_.OnAttemptFinished(fingerprint, target, outcome,
                                           clock_.now());
  }
  if (!notice)
    return;
  Log(log_level::kWarning, "target-lost-with-request",
      {{"target", target},
       {"fingerprint", std::to_string(fingerprint)},
       {"alone", notice->alone},
       {"quarantined",
        DecisionFor(fingerprint) == quarantine_decision::kQuarantined}});
  sink_(*notice);
}

void synchronized_quarantine::OnNotice(const crash_notice& notice) {
  std::lock_guard guard(lock_);
  quarantine_.OnNotice(notice, clock_.now());
}

std::size_t synchronized_quarantine::quarantined() const {
  std::lock_guard guard(lock_);
  return quarantine_.quarantined();
}

std::uint64_t synchronized_quarantine::targets_lost() const {
  std::lock_guard guard(lock_);
  return quarantine_.targets_lost();
}

}  // namespace samphire
