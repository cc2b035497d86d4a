#ifndef DECISION_TARGET_HEALTH_H_
#define DECISION_TARGET_HEALTH_H_

#include <cstdint>

#include "base/clock_source.h"
#include "decision/attempt_outcome.h"
#include "decision/ejection_cause.h"

namespace samphire {

// Passive health check (outlier detection) of one target, based only on the
// outcomes of requests that this entry sent. An ejected target is probed with a
// single request after a backoff. Not thread-safe.
class target_health {
 public:
  enum class state { kServing, kEjected, kProbing };

  // `slowness` is the latency divided by the usual latency of the request
  // class; 0 if the attempt gives no information about it.
  void OnOutcome(attempt_outcome outcome, double slowness);

  // Whether the outcomes justify an ejection, because of consecutive failures,
  // or because of slowness, given the median slowness of the target's peers (0:
  // there are no peers to compare with).
  bool IsFailing() const;
  bool IsSlow(double peer_median) const;

  // Ejects the target until the backoff that starts at `now` is over.
  void Eject(ejection_cause cause, time_point now);
  void StartProbe();
  // Ends a probe that gave no information because it was cancelled: another may
  // follow immediately.
  void AbandonProbe();
  // Puts the target back into service with its measurements reset.
  void Readmit();

  bool serving() const { return state_ == state::kServing; }
  bool probing() const { return state_ == state::kProbing; }
  // Whether the backoff is over and no probe is running.
  bool MayProbe(time_point now) const {
    return state_ == state::kEjected && now >= ejected_until_;
  }
  // Whether the target is out of service, a running probe included.
  bool ejected() const { return state_ != state::kServing; }
  time_point ejected_until() const { return ejected_until_; }
  ejection_cause cause() const { return cause_; }
  // Smoothed ratio of the target's latency to the usual one; 1 is usual.
  double slowness() const { return slowness_; }

 private:
  state state_ = state::kServing;
  ejection_cause cause_ = ejection_cause::kFailures;
  time_point ejected_until_;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t samples_ = 0;
  // Exponent of the backoff; rises with each ejection and falls with steady
  // service.
  std::uint32_t backoff_step_ = 0;
  double slowness_ = 1;
};

}  // namespace samphire

#endif  // DECISION_TARGET_HEALTH_H_
