#ifndef GATEWAY_FLEET_QUARANTINE_H_
#define GATEWAY_FLEET_QUARANTINE_H_

#include <atomic>
#include <cstddef>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/enum_names.h"
#include "decision/crash_quarantine.h"
#include "gateway/quarantine_news.h"
#include "metrics/metrics.h"
#include "peer/news_channel.h"

namespace samphire {

// What made this entry refuse a request.
enum class quarantine_source {
  // A loss that this entry saw.
  kLoss,
  // A loss that another entry saw.
  kNotice,
  // The decision of another entry.
  kPeer,
};

inline constexpr enum_names<quarantine_source, 3> kQuarantineSourceNames{{
    {quarantine_source::kLoss, "loss"},
    {quarantine_source::kNotice, "notice"},
    {quarantine_source::kPeer, "peer"},
}};

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
  // Applies what another entry has told, and answers what it asks.
  void OnNews(const quarantine_news& news, const std::string& from);
  // Asks the entries at these peer addresses for what they know. To be called
  // at the start, with those through which this entry joins the fleet.
  void Ask(const std::vector<std::string>& addresses);
  // Asks entries of the region and of others for what they know, unless one of
  // them has answered since this entry started. To be called when the list of
  // entries changes.
  void OnEntriesChanged();
  // Tells other entries what is in quarantine, and asks as above. To be called
  // about once a second.
  void Tick();

  // Number of requests in quarantine.
  std::size_t quarantined() const;
  // Number of target losses seen so far.
  std::uint64_t targets_lost() const;

 private:
  // Tells the other entries what this entry has released, if anything.
  void PublishReleased(std::vector<request_fingerprint> released);
  // Logs that the request is refused now, and tells the other entries if it is
  // due to a loss that this entry saw.
  void OnDecisionChanged(request_fingerprint fingerprint,
                         quarantine_source source);
  // Tells an entry that has started what this one knows.
  void Answer(const std::string& asker);
  // Whether the request is refused at `now`, for good or until a trial. The
  // lock must be held.
  bool IsRefused(request_fingerprint fingerprint, time_point now);
  // Tells all entries what this entry has convicted by notices of others and
  // nobody has told since.
  void PublishUntold();
  // Returns up to one message of requests in quarantine, a different part of
  // them with each call.
  quarantine_news NextQuarantineNews();

  const clock_source& clock_;
  metrics& metrics_;
  mutable std::mutex lock_;
  crash_quarantine quarantine_;
  // Ticks so far.
  std::atomic<std::size_t> ticks_ = 0;
  // Requests convicted by notices of others since the last tick.
  std::set<request_fingerprint> untold_;
  std::atomic<bool> answered_ = false;
  // Entries of the region that were told what is in quarantine.
  std::vector<std::string> told_;
  // Declared last, so that no message arrives before or after the rest exists.
  news_channel<quarantine_news> news_;
};

}  // namespace samphire

#endif  // GATEWAY_FLEET_QUARANTINE_H_
