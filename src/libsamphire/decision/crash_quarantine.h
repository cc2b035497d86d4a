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
#include "decision/paused_request.h"
#include "decision/quarantine_decision.h"
#include "decision/quarantined_request.h"
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

  // Returns for how long a request that Decide() reports as quarantined is
  // refused; 0 for any other.
  duration RefusedFor(request_fingerprint fingerprint, time_point now);

  // Returns the targets that were lost while the request, a suspect, ran on
  // them.
  std::vector<std::string> TargetsLostWith(request_fingerprint fingerprint,
                                           time_point now);

  // Reports that an attempt has been sent to the target.
  void OnAttemptStarted(request_fingerprint fingerprint,
                        const std::string& target);
  // Reports that an attempt has ended, `ran` after it was sent. Returns a
  // notice to be sent to the other entries if a target was lost with it.
  std::optional<crash_notice> OnAttemptFinished(request_fingerprint fingerprint,
                                                const std::string& target,
                                                attempt_outcome outcome,
                                                time_point now,
                                                duration ran = duration{0});
  // Applies a crash notice that another entry sent.
  void OnNotice(const crash_notice& notice, time_point now);

  // Reports that a target responded to a request that was sent at `sent_at`.
  // May be called only if each process of a target has a name of its own: a
  // target that responds after it was lost with a request has not crashed, and
  // its loss counts no more. Returns whether that is so.
  bool OnTargetResponded(const std::string& target,
                         time_point sent_at,
                         time_point now);
  // Applies that a target has responded to another entry after its loss.
  void OnTargetAlive(const std::string& target);

  // Returns the requests in quarantine.
  std::vector<quarantined_request> QuarantinedRequests(time_point now);
  // Returns the request as it is in quarantine; nothing if it is not.
  std::optional<quarantined_request> QuarantinedRequest(
      request_fingerprint fingerprint,
      time_point now);
  // Applies what another entry has in quarantine.
  void OnQuarantined(const quarantined_request& request, time_point now);
  // Returns the pause of the suspect; nothing if it may run now.
  std::optional<paused_request> PauseOf(request_fingerprint fingerprint,
                                        time_point now);
  // Applies that another entry refuses the suspect until its next trial.
  void OnPaused(const paused_request& request, time_point now);
  // Returns the losses of all suspects, at most `limit`, for an entry that has
  // started.
  std::vector<crash_notice> SuspectedLosses(std::size_t limit, time_point now);
  // Whether the request is refused for good, and not until a trial.
  bool IsQuarantined(request_fingerprint fingerprint, time_point now);
  // Applies that another entry has released the request.
  void OnReleased(request_fingerprint fingerprint, time_point now);
  // Returns the suspects and the requests in quarantine that this entry has
  // released since the last call, to be told to the other entries.
  std::vector<request_fingerprint> TakeReleased();

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
    time_point started_at;
    time_point lost_at;
  };
  struct suspect {
    // In the order of `lost_at`.
    std::vector<crash_record> crashes;
    // Until then the request is refused, after that it is tried again: it was
    // lost with several targets, but so were others.
    time_point refused_until;
  };
  struct quarantine_term {
    time_point ends_at;
    // The targets that were lost with the request; empty if another entry
    // decided.
    std::vector<std::string> targets;
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
                     const crash_record& crash,
                     time_point now);
  static void AddCrash(std::vector<crash_record>& crashes,
                       const crash_record& crash);
  // Returns the losses that count against the request.
  std::vector<crash_record> CountedCrashes(
      request_fingerprint fingerprint,
      const std::vector<crash_record>& crashes,
      time_point now);
  // Whether another suspect was lost with all these targets as well.
  bool HasRival(request_fingerprint fingerprint,
                const std::vector<crash_record>& crashes);
  // Moves the suspect to quarantine, and clears the others of the losses that
  // it has caused.
  void Quarantine(request_fingerprint fingerprint,
                  const std::vector<crash_record>& crashes,
                  time_point now);
  void ForgetSharedLosses(const std::vector<std::string>& targets);
  // Removes all suspicion from a request that got a complete response.
  void Clear(request_fingerprint fingerprint, time_point now);
  // Removes all suspicion from the request, and remembers that for the other
  // entries if there was any.
  void Release(request_fingerprint fingerprint);
  // Removes the losses of the target from all suspects, and releases the
  // requests that were quarantined for them.
  void ForgetLossesOf(const std::string& target);

  expiring_lru_map<request_fingerprint, suspect> suspects_;
  expiring_lru_map<request_fingerprint, quarantine_term> quarantined_;
  // Requests that got a complete response recently.
  expiring_lru_map<request_fingerprint, no_value> answered_;
  expiring_lru_map<std::string, loss> losses_;
  // When targets were lost, for as long as they can't have started again.
  expiring_lru_map<std::string, time_point> lost_at_;
  std::vector<request_fingerprint> released_;
  // How many attempts of this entry run on each target, and of each request.
  std::unordered_map<std::string, std::uint32_t> running_on_;
  std::unordered_map<request_fingerprint, std::uint32_t> running_;
  std::uint64_t targets_lost_ = 0;
};

}  // namespace samphire

#endif  // DECISION_CRASH_QUARANTINE_H_
