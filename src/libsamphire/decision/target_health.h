#ifndef DECISION_TARGET_HEALTH_H_
#define DECISION_TARGET_HEALTH_H_

#include <cstdint>

#include "base/clock_source.h"
#include "decision/attempt_outcome.h"
#include "decision/ejection_cause.h"

namespace samphire {

// What this entry has seen of one target, from real outcomes alone.
class target_health {
 public:
  enum class state { kServing, kEjected, kProbing };

  // `slowness` is the latency over the usual latency of its request class;
  // 0 when the attempt tells nothing of it.
  void OnOutcome(attempt_outcome outcome, double slowness);

  // Whether the outcomes speak for an ejection, given the median slowness of
  // the target's peers (0: no peers to compare with).
  bool LooksFailed() const;
  bool LooksSlow(double peer_median) const;

  void Eject(ejection_cause cause, time_point now);
  void StartProbe();
  // The probe told nothing (cancelled): another may follow at once.
  void AbandonProbe();
  void Readmit();

  bool serving() const { return state_ == state::kServing; }
  bool probing() const { return state_ == state::kProbing; }
  bool MayProbe(time_point now) const {
    return state_ == state::kEjected && now >= ejected_until_;
  }
  bool ejected() const { return state_ != state::kServing; }
  time_point ejected_until() const { return ejected_until_; }
  ejection_cause cause() const { return cause_; }
  // How often slower than usual the target is; 1 is usual.
  double slowness() const { return slowness_; }

 private:
  state state_ = state::kServing;
  ejection_cause cause_ = ejection_cause::kFailures;
  time_point ejected_until_;
  std::uint32_t failures_in_a_row_ = 0;
  std::uint32_t samples_ = 0;
  // Rises with each ejection and falls with steady service.
  std::uint32_t back_off_step_ = 0;
  double slowness_ = 1;
};

}  // namespace samphire

#endif  // DECISION_TARGET_HEALTH_H_
