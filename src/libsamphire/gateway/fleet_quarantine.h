#ifndef GATEWAY_SYNCHRONIZED_QUARANTINE_H_
#define GATEWAY_SYNCHRONIZED_QUARANTINE_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "decision/crash_quarantine.h"

namespace samphire {

// The crash_quarantine of one entry behind a lock, shared by its threads. All
// functions are thread-safe.
class synchronized_quarantine {
 public:
  // Sends a crash notice to the other entries of the region; called without the
  // lock, by the thread that reported the loss.
  using notice_sink = std::function<void(const crash_notice&)>;

  synchronized_quarantine(const clock_source& clock, notice_sink sink);

  // Returns how a request with this fingerprint may run now.
  quarantine_decision DecisionFor(request_fingerprint fingerprint);
  // Returns the targets that were lost while the request, a suspect, ran on
  // them.
  std::vector<std::string> LostTargets(request_fingerprint fingerprint);
  // Reports that an attempt is sent to the target.
  void AttemptStarted(request_fingerprint fingerprint,
                      const std::string& target);
  // Reports that an attempt has ended. If a target was lost with it, logs that
  // and passes a notice to the sink.
  void AttemptFinished(request_fingerprint fingerprint,
                       const std::string& target,
                       attempt_outcome outcome);
  // Applies a crash notice from another entry.
  void OnNotice(const crash_notice& notice);

  // Number of fingerprints in quarantine.
  std::size_t quarantined() const;
  // Number of target losses seen so far.
  std::uint64_t targets_lost() const;

 private:
  const clock_source& clock_;
  const notice_sink sink_;
  mutable std::mutex lock_;
  crash_quarantine quarantine_;
};

}  // namespace samphire

#endif  // GATEWAY_SYNCHRONIZED_QUARANTINE_H_
