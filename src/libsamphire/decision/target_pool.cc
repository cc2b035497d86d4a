#include "decision/target_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphire {

namespace {

// At most this share of the open targets is out of use at once. Beyond it the
// fault is more likely with this entry or with all targets alike, and the rest
// could not carry the load.
constexpr std::size_t kMaxEjectedPercent = 34;
// After this long without work a target's caches count as cold again.
constexpr duration kColdAfterIdle = std::chrono::seconds(60);
// What a target says of its own load moves its score by this much at most: it
// may break a tie, it can't draw work to a target that is slow in truth.
constexpr double kHintWeight = 0.1;
constexpr double kHealthyProbe = 3;

bool Contains(const std::vector<std::string>* names, const std::string& name) {
  return names != nullptr &&
         std::find(names->begin(), names->end(), name) != names->end();
}

}  // namespace

target_pool::target_pool(const service& declared,
                         duration ramp,
                         std::uint64_t seed)
    : ramp_length_(ramp), random_(seed) {
  // An entry that starts knows nothing of its targets' caches. They are taken
  // as warm: entries are replaced every day, and each ramping anew would cost
  // the region capacity that it really has.
  SetTargets(declared, time_point{});
  for (auto& each : targets_)
    each.ramp = slot_ramp(ramp, 0);
}

void target_pool::SetTargets(const service& declared, time_point now) {
  for (auto& each : targets_)
    each.declared = false;
  for (const auto& each : declared.targets) {
    auto* known = FindTarget(each.name);
    if (known == nullptr) {
      known = &NewTarget();
      known->name = each.name;
      known->ramp.Restart(now);
    }
    known->declared = true;
    known->address = each.address;
    known->failure_domain = each.failure_domain;
  }
}

// Placements hold indices, so the state of a target that is gone is not erased
// but used again once nothing runs on it; else a deployment that replaces its
// targets every day would grow this list without end.
target_state& target_pool::NewTarget() {
  const double stagger = std::uniform_real_distribution<>(0, 1)(random_);
  target_state fresh(slot_ramp(ramp_length_, stagger));
  for (auto& each : targets_) {
    if (!each.declared && each.running == 0 && each.lent == 0)
      return each = std::move(fresh);
  }
  return targets_.emplace_back(std::move(fresh));
}

void target_pool::SetOwned(const std::vector<owned_slots>& owned) {
  for (auto& each : targets_)
    each.owned = 0;
  for (const auto& share : owned) {
    if (auto* known = FindTarget(share.target))
      known->owned += share.count;
  }
}

void target_pool::SetClosed(const std::set<std::string>& closed) {
  for (auto& each : targets_)
    each.closed = closed.contains(each.name);
}

void target_pool::SetHint(std::string_view target, double load) {
  if (auto* known = FindTarget(target))
    known->hint = std::clamp(load, 0.0, 1.0);
}

std::optional<placement> target_pool::Place(const placing_wish& wish,
                                            time_point now) {
  if (const auto probe = PlaceProbe(wish, now))
    return probe;
  std::vector<std::size_t> candidates;
  std::vector<std::size_t> avoided;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (!CanStart(targets_[i], wish, now))
      continue;
    const bool avoid =
        Contains(wish.avoid_failure_domains, targets_[i].failure_domain);
    (avoid ? avoided : candidates).push_back(i);
  }
  // A retry waits for another failure domain rather than meet the same fault
  // again; only when there is no other does it go back.
  if (candidates.empty() && !avoided.empty() &&
      !HasRoomElsewhere(*wish.avoid_failure_domains))
    candidates = std::move(avoided);
  if (candidates.empty())
    return std::nullopt;
  return Take(PickOfTwo(candidates, wish.isolate), wish, now);
}

std::optional<placement> target_pool::PlaceProbe(const placing_wish& wish,
                                                 time_point now) {
  if (!wish.may_probe)
    return std::nullopt;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    auto& target = targets_[i];
    if (!target.open() || !target.health.MayProbe(now) ||
        target.OwnFree(now) == 0 ||
        Contains(wish.avoid_failure_domains, target.failure_domain))
      continue;
    target.health.StartProbe();
    ++target.own_running;
    ++target.running;
    return placement{i, true, std::nullopt};
  }
  return std::nullopt;
}

bool target_pool::CanStart(const target_state& target,
                           const placing_wish& wish,
                           time_point now) const {
  if (!target.open() || !target.health.serving() || target.isolating)
    return false;
  return target.OwnFree(now) > 0 ||
         (wish.may_borrow &&
          loans_.FindIdle(target.name, wish.longest, now).has_value());
}

bool target_pool::HasRoomElsewhere(
    const std::vector<std::string>& avoided) const {
  return std::any_of(
      targets_.begin(), targets_.end(), [&](const target_state& each) {
        return each.open() && each.health.serving() && each.owned > each.lent &&
               !Contains(&avoided, each.failure_domain);
      });
}

// Made for many entries that choose at the same moment on like information:
// were each to take the best, all would take the same one. Two random choices
// spread them and still avoid the slow.
std::size_t target_pool::PickOfTwo(const std::vector<std::size_t>& candidates,
                                   bool isolate) {
  std::vector<std::size_t> idle;
  if (isolate) {
    for (const auto index : candidates) {
      if (targets_[index].running == 0)
        idle.push_back(index);
    }
  }
  const auto& choices = idle.empty() ? candidates : idle;
  std::uniform_int_distribution<std::size_t> draw(0, choices.size() - 1);
  const auto first = choices[draw(random_)];
  const auto second = choices[draw(random_)];
  return Score(targets_[second]) < Score(targets_[first]) ? second : first;
}

// The expected time of one more request there: slowness from real outcomes,
// grown by how much of the target is in use.
double target_pool::Score(const target_state& target) const {
  const double slots = std::max(1U, target.owned);
  return target.health.slowness() * (1 + target.running / slots) *
         (1 + kHintWeight * target.hint);
}

placement target_pool::Take(std::size_t index,
                            const placing_wish& wish,
                            time_point now) {
  auto& target = targets_[index];
  if (target.last_used != time_point{} && target.running == 0 &&
      now - target.last_used > kColdAfterIdle)
    target.ramp.Restart(now);
  placement placed{index, false, std::nullopt};
  // An own slot first: a loan that is not needed goes back sooner.
  if (target.OwnFree(now) > 0) {
    ++target.own_running;
  } else {
    placed.loan_id = loans_.FindIdle(target.name, wish.longest, now);
    if (placed.loan_id)
      loans_.SetBusy(*placed.loan_id, true);
    else
      ++target.own_running;  // The ramp has just been restarted.
  }
  // Whoever joined a crash suspect would share its crash.
  target.isolating = wish.isolate && target.running == 0;
  ++target.running;
  target.last_used = now;
  return placed;
}

void target_pool::Release(const placement& placed,
                          attempt_outcome outcome,
                          double slowness,
                          time_point now) {
  auto& target = targets_[placed.target_index];
  --target.running;
  if (placed.loan_id)
    loans_.SetBusy(*placed.loan_id, false);
  else
    --target.own_running;
  target.isolating = false;
  target.last_used = now;
  target.health.OnOutcome(outcome, slowness);
  if (outcome == attempt_outcome::kTargetShed)
    target.ramp.Halve(now);
  if (placed.probe)
    JudgeProbe(target, outcome, slowness, now);
  else if (target.health.serving())
    ConsiderEjection(target, now);
}

void target_pool::JudgeProbe(target_state& target,
                             attempt_outcome outcome,
                             double slowness,
                             time_point now) {
  if (!target.health.probing())
    return;
  if (outcome == attempt_outcome::kCancelled) {
    target.health.AbandonProbe();
    return;
  }
  if (outcome != attempt_outcome::kOk || slowness > kHealthyProbe) {
    target.health.Eject(ejection_cause::kFailedProbe, now);
    return;
  }
  // One good answer shows that the target lives, not that it carries a full
  // load: its caches may be cold after a restart.
  target.health.Readmit();
  target.ramp.Restart(now);
}

void target_pool::ConsiderEjection(target_state& target, time_point now) {
  const bool failed = target.health.LooksFailed();
  const bool slow =
      !failed && target.health.LooksSlow(MedianSlownessOfPeers(target));
  if ((failed || slow) && MayEjectOneMore()) {
    target.health.Eject(
        failed ? ejection_cause::kFailures : ejection_cause::kSlowness, now);
  }
}

bool target_pool::MayEjectOneMore() const {
  std::size_t open = 0;
  std::size_t ejected = 0;
  for (const auto& each : targets_) {
    open += each.open() ? 1 : 0;
    ejected += each.open() && each.health.ejected() ? 1 : 0;
  }
  return (ejected + 1) * 100 <= open * kMaxEjectedPercent;
}

double target_pool::MedianSlownessOfPeers(const target_state& target) const {
  std::vector<double> peers;
  for (const auto& each : targets_) {
    if (&each != &target && each.open() && each.health.serving())
      peers.push_back(each.health.slowness());
  }
  if (peers.empty())
    return 0;
  const auto middle = peers.begin() + static_cast<long>(peers.size() / 2);
  std::nth_element(peers.begin(), middle, peers.end());
  return *middle;
}

target_state* target_pool::FindTarget(std::string_view name) {
  const auto found =
      std::find_if(targets_.begin(), targets_.end(),
                   [&](const target_state& each) { return each.name == name; });
  return found == targets_.end() ? nullptr : &*found;
}

}  // namespace samphire
