#ifndef DECISION_TARGET_POOL_H_
#define DECISION_TARGET_POOL_H_

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock_source.h"
#include "config/service.h"
#include "decision/attempt_outcome.h"
#include "decision/lent_slot.h"
#include "decision/loan_set.h"
#include "decision/owned_slots.h"
#include "decision/placement.h"
#include "decision/placement_constraints.h"
#include "decision/target_state.h"

namespace samphire {

// The targets of one service at one entry: their free slots, owned and
// borrowed, the choice of a target for a request, and ejection of unhealthy
// targets. Not thread-safe.
class target_pool {
 public:
  // `ramp` is the warm-up time of a cold target.
  target_pool(const service& declared, duration ramp, std::uint64_t seed);

  // Replaces the declared targets. Those that were not declared before are
  // assumed to be cold and ramp up.
  void SetTargets(const service& declared, time_point now);
  void SetOwned(const std::vector<owned_slots>& owned);
  void SetClosed(const std::set<std::string>& closed);
  // Sets the load that a target reports of itself, in 0..1.
  void SetHint(std::string_view target, double load);

  // Takes a slot for a request; none if no target has a slot that satisfies the
  // constraints.
  std::optional<placement> Place(const placement_constraints& constraints,
                                 time_point now);
  // Releases the slot and updates the target's health from the outcome.
  void Release(const placement& placed,
               attempt_outcome outcome,
               double slowness,
               time_point now);

  // Removes one free owned slot from use in order to lend it, from the target
  // with the most free slots.
  std::optional<lent_slot> Lend(time_point now);
  bool CanLend(time_point now) const;
  // Returns a lent slot of the target to use.
  void RestoreLentSlot(std::string_view target);

  loan_set& loans() { return loans_; }
  const loan_set& loans() const { return loans_; }
  const target_state& at(std::size_t index) const { return targets_[index]; }
  const std::vector<target_state>& all() const { return targets_; }
  // Whether the target is declared, not closed and not ejected.
  bool IsOpen(std::string_view target) const;

  // Whether a free slot or a due probe may allow a request to start.
  bool MayStartAny(time_point now) const;
  // Number of free slots, owned and borrowed, and of free owned slots alone.
  std::uint32_t FreeSlots(time_point now) const;
  std::uint32_t FreeOwnedSlots(time_point now) const;
  // Number of slots, in use or not: all borrowed ones, and of the targets that
  // are open and serving the owned slots that are not lent, as far as the ramps
  // allow.
  std::uint32_t UsableSlots(time_point now) const;
  // Whether any target may receive new work now or later.
  bool AnyOpen() const;
  // The next time at which a ramp, an ejection or a loan may change the number
  // of free slots.
  std::optional<time_point> NextChange(time_point now) const;

 private:
  target_state& NewTarget();
  target_state* FindTarget(std::string_view name);
  bool CanStart(const target_state& target,
                const placement_constraints& constraints,
                time_point now) const;
  static bool IsLendable(const target_state& target, time_point now);
  bool HasSlotsElsewhere(const std::vector<std::string>& avoided) const;
  std::size_t PickBestOfTwo(const std::vector<std::size_t>& candidates,
                            bool isolate);
  double Score(const target_state& target) const;
  std::optional<placement> PlaceProbe(const placement_constraints& constraints,
                                      time_point now);
  placement TakeSlot(std::size_t index,
                     const placement_constraints& constraints,
                     time_point now);
  void EvaluateProbe(target_state& target,
                     attempt_outcome outcome,
                     double slowness,
                     time_point now);
  // Ejects a target that fails or is slow compared with its peers.
  void EjectIfUnhealthy(target_state& target, time_point now);
  // Whether one more ejection stays within the allowed share of targets.
  bool CanEjectAnother() const;
  double MedianSlownessOfPeers(const target_state& target) const;

  duration ramp_length_;
  std::mt19937_64 random_;
  std::vector<target_state> targets_;
  loan_set loans_;
};

}  // namespace samphire

#endif  // DECISION_TARGET_POOL_H_
