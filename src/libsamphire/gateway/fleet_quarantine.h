#ifndef GATEWAY_FLEET_QUARANTINE_H_
#define GATEWAY_FLEET_QUARANTINE_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "decision/crash_quarantine.h"
#include "gateway/quarantine_news.h"
#include "metrics/metrics.h"
#include "peer/news_channel.h"

namespace samphire {

// The crash_quarantine of one entry, shared by its threads, and kept alike by
// all entries of the fleet: they tell each other each loss, and again and again
// what is in quarantine, so that an entry that has started or was cut off
// learns it too. Keeps nothing in the platform's store. All functions are
// thread-safe and do not block.
class fleet_quarantine {
 public:
  // `transport`, `clock` and `counters` must outlive this object.
  fleet_quarantine(peer_transport& transport,
                   news_channel<quarantine_news>::peer_provider peers,
                   const clock_source& clock,
                   metrics& counters);

  // Returns how a request with this fingerprint may run now.
  quarantine_decision DecisionFor(request_fingerprint fingerprint);
  // Returns for how long a request in quarantine is refused; 0 for any other.
  milliseconds RefusedFor(request_fingerprint fingerprint);
  // Returns the targets that were lost while the request, a suspect, ran on
  // them.
  std::vector<std::string> LostTargets(request_fingerprint fingerprint);
  // Reports that an attempt is sent to the target.
  void AttemptStarted(request_fingerprint fingerprint,
                      const std::string& target);
  // Reports that an attempt has ended, `ran` after it was sent. If a target was
  // lost with it, logs that and tells the other entries.
  void AttemptFinished(request_fingerprint fingerprint,
                       const std::string& target,
                       attempt_outcome outcome,
                       duration ran);
  // Reports that a target responded to a request that was sent at `sent_at`.
  // To be called only if each process of a target has a name of its own.
  void TargetResponded(const std::string& target, time_point sent_at);
  // Applies what another entry has told.
  void OnNews(const quarantine_news& news);
  // Tells some other entries what is in quarantine. To be called about once a
  // second.
  void Tick();

  // Number of requests in quarantine.
  std::size_t quarantined() const;
  // Number of target losses seen so far.
  std::uint64_t targets_lost() const;

 private:
  // Tells the other entries what this entry has released, if anything.
  void PublishReleased(std::vector<request_fingerprint> released);
  // Logs a change of the decision about the request.
  void LogDecision(request_fingerprint fingerprint, const char* source);
  // Returns up to one message of requests in quarantine, a different part of
  // them with each call.
  quarantine_news NextQuarantineNews();

  const clock_source& clock_;
  metrics& metrics_;
  mutable std::mutex lock_;
  crash_quarantine quarantine_;
  // Ticks so far; used by the thread that calls Tick().
  std::size_t ticks_ = 0;
  // Entries of the region that were told what is in quarantine.
  std::vector<std::string> told_;
  // Declared last, so that no message arrives before or after the rest exists.
  news_channel<quarantine_news> news_;
};

}  // namespace samphire

#endif  // GATEWAY_FLEET_QUARANTINE_H_
