#ifndef DECISION_CRASH_QUARANTINE_H_
#define DECISION_CRASH_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock_source.h"
#include "decision/attempt_outcome.h"
#include "decision/crash_notice.h"
#include "decision/expiring_lru_map.h"
#include "decision/quarantine_decision.h"
#include "decision/request_fingerprint.h"

namespace samphire {

// Detects requests that crash every target which runs them, and distinguishes
// them from requests that merely ran on the same target at the time. One entry
// keeps one quarantine for all its services. Memory is bounded. Not
// thread-safe.
class crash_quarantine {
 public:
  crash_quarantine();

  // Decides how a request with this fingerprint may run now.
  quarantine_decision Decide(request_fingerprint fingerprint, time_point now);

  // Returns the targets that were lost while the request, a suspect, ran on
  // them.
  std::vector<std::string> TargetsLostWith(request_fingerprint fingerprint,
                                           time_point now);

  // Reports that an attempt has been sent to the target.
  void OnAttemptStarted(request_fingerprint fingerprint,
                        const std::string& target);
  // Reports that an attempt has ended. Returns a notice to be sent to the other
  // entries of the region if a target was lost with it.
  std::optional<crash_notice> OnAttemptFinished(request_fingerprint fingerprint,
                                                const std::string& target,
                                                attempt_outcome outcome,
                                                time_point now);
  // Applies a crash notice that another entry sent.
  void OnNotice(const crash_notice& notice, time_point now);

  std::size_t suspects() const { return suspects_.size(); }
  std::size_t quarantined() const { return quarantined_.size(); }
  // Number of target losses seen; each counts once however many requests were
  // lost with the target.
  std::uint64_t targets_lost() const { return targets_lost_; }

 private:
  // One loss of a target while the suspect ran on it.
  struct crash_record {
    std::string target;
    // Whether nothing else is known to have run on the target.
    bool alone = false;
  };
  struct suspect {
    std::vector<crash_record> crashes;
  };
  struct loss {
    request_fingerprint first_suspect = 0;
    // Whether more than one request is known to have run on the target.
    bool shared = false;
    // Attempts of this entry that ran on the target when the loss became known,
    // and whose outcome has not been reported yet.
    std::uint32_t pending_outcomes = 0;
  };
  struct no_value {};

  // Returns whether an attempt that was lost on the target started only after
  // the target had been lost.
  bool StartedAfterLoss(const std::string& target, time_point now);
  // Records the loss and returns whether the request was the only one on the
  // target.
  bool RecordLoss(const std::string& target,
                  request_fingerprint fingerprint,
                  bool shared,
                  time_point now);
  // Adds the loss to the suspect's crashes, and quarantines the request when it
  // has caused enough of them.
  void RecordSuspect(request_fingerprint fingerprint,
                     const std::string& target,
                     bool alone,
                     time_point now);
  bool MeetsQuarantineThreshold(const std::vector<crash_record>& crashes,
                                bool answered) const;
  // Removes all suspicion from a request that got a complete response.
  void Clear(request_fingerprint fingerprint, time_point now);

  expiring_lru_map<request_fingerprint, suspect> suspects_;
  expiring_lru_map<request_fingerprint, no_value> quarantined_;
  // Requests that got a complete response recently.
  expiring_lru_map<request_fingerprint, no_value> answered_;
  expiring_lru_map<std::string, loss> losses_;
  // How many attempts of this entry run on each target, and of each request.
  std::unordered_map<std::string, std::uint32_t> running_on_;
  std::unordered_map<request_fingerprint, std::uint32_t> running_;
  std::uint64_t targets_lost_ = 0;
};

}  // namespace samphire

#endif  // DECISION_CRASH_QUARANTINE_H_
