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
#include "decision/placing_wish.h"
#include "decision/target_state.h"

namespace samphire {

// The targets of one service at one entry: which slots are free, which target
// is the best for a request, and which are ejected.
class target_pool {
 public:
  target_pool(const service& declared, duration ramp, std::uint64_t seed);

  // Targets that were not declared before are cold.
  void SetTargets(const service& declared, time_point now);
  void SetOwned(const std::vector<owned_slots>& owned);
  void SetClosed(const std::set<std::string>& closed);
  void SetHint(std::string_view target, double load);

  // Takes a slot for a request, or none if none fits.
  std::optional<placement> Place(const placing_wish& wish, time_point now);
  // Gives the slot back and learns from the outcome.
  void Release(const placement& placed,
               attempt_outcome outcome,
               double slowness,
               time_point now);

  // Takes one free own slot out of use, best where most are free.
  std::optional<lent_slot> Lend(time_point now);
  bool CanLend(time_point now) const;
  void Restore(std::string_view target);

  loan_set& loans() { return loans_; }
  const loan_set& loans() const { return loans_; }
  const target_state& at(std::size_t index) const { return targets_[index]; }
  const std::vector<target_state>& all() const { return targets_; }
  bool IsOpen(std::string_view target) const;

  // Whether a free slot or a due probe may let anything start.
  bool MayStartAny(time_point now) const;
  // Slots that are free now, own and borrowed, and own ones alone.
  std::uint32_t FreeSlots(time_point now) const;
  std::uint32_t FreeOwnSlots(time_point now) const;
  // Slots of serving targets, in use or not, own and borrowed.
  std::uint32_t UsableSlots(time_point now) const;
  // Whether any target may take new work at some time.
  bool AnyOpen() const;
  // The next time at which a ramp or an ejection may free a slot.
  std::optional<time_point> NextChange(time_point now) const;

 private:
  target_state& NewTarget();
  target_state* FindTarget(std::string_view name);
  bool CanStart(const target_state& target,
                const placing_wish& wish,
                time_point now) const;
  static bool IsLendable(const target_state& target, time_point now);
  bool HasRoomElsewhere(const std::vector<std::string>& avoided) const;
  std::size_t PickOfTwo(const std::vector<std::size_t>& candidates,
                        bool isolate);
  double Score(const target_state& target) const;
  std::optional<placement> PlaceProbe(const placing_wish& wish, time_point now);
  placement Take(std::size_t index, const placing_wish& wish, time_point now);
  void JudgeProbe(target_state& target,
                  attempt_outcome outcome,
                  double slowness,
                  time_point now);
  void ConsiderEjection(target_state& target, time_point now);
  bool MayEjectOneMore() const;
  double MedianSlownessOfPeers(const target_state& target) const;

  duration ramp_length_;
  std::mt19937_64 random_;
  std::vector<target_state> targets_;
  loan_set loans_;
};

}  // namespace samphire

#endif  // DECISION_TARGET_POOL_H_
