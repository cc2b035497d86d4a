#include "gateway/guarded_quarantine.h"

#include <optional>
#include <utility>

#include "base/log.h"

namespace samphire {

guarded_quarantine::guarded_quarantine(const clock_source& clock,
                                       notice_sink sink)
    : clock_(clock), sink_(std::move(sink)) {}

quarantine_decision guarded_quarantine::Judge(request_fingerprint fingerprint) {
  std::lock_guard guard(lock_);
  return quarantine_.Decide(fingerprint, clock_.now());
}

std::vector<std::string> guarded_quarantine::LostWith(
    request_fingerprint fingerprint) {
  std::lock_guard guard(lock_);
  return quarantine_.TargetsLostWith(fingerprint, clock_.now());
}

void guarded_quarantine::Started(request_fingerprint fingerprint,
                                 const std::string& target) {
  std::lock_guard guard(lock_);
  quarantine_.OnAttemptStarted(fingerprint, target);
}

void guarded_quarantine::Finished(request_fingerprint fingerprint,
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
        Judge(fingerprint) == quarantine_decision::kQuarantined}});
  sink_(*notice);
}

void guarded_quarantine::OnNotice(const crash_notice& notice) {
  std::lock_guard guard(lock_);
  quarantine_.OnNotice(notice, clock_.now());
}

std::size_t guarded_quarantine::quarantined() const {
  std::lock_guard guard(lock_);
  return quarantine_.quarantined();
}

std::uint64_t guarded_quarantine::targets_lost() const {
  std::lock_guard guard(lock_);
  return quarantine_.targets_lost();
}

}  // namespace samphire
