#include "decision/target_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphire {

namespace {

// At most this percentage of the open targets is ejected at once. Beyond it the
// fault is more likely in this entry or common to all targets, and the
// remaining targets could not carry the load.
constexpr std::size_t kMaxEjectedPercent = 34;
// After this long without work the caches of a target are assumed to be cold
// again.
constexpr duration kColdAfterIdle = std::chrono::seconds(60);
// The load that a target reports changes its score by this fraction at most: it
// may break a tie, but it can't attract work to a target that is in fact slow.
constexpr double kHintWeight = 0.1;
// A probe with a greater slowness doesn't readmit its target.
constexpr double kMaxProbeSlowness = 3;

bool Contains(const std::vector<std::string>* names, const std::string& name) {
  return names != nullptr &&
         std::find(names->begin(), names->end(), name) != names->end();
}

}  // namespace

target_pool::target_pool(const service& declared,
                         duration ramp,
                         std::uint64_t seed)
    : ramp_length_(ramp), random_(seed) {
  // An entry that starts has no information about its targets' caches. They are
  // assumed to be warm: entries are replaced every day, and a ramp after each
  // replacement would cost the region capacity that it really has.
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

// Placements hold indices, so the state of a removed target is not erased but
// reused once nothing runs on it; otherwise a deployment that replaces its
// targets every day would grow this list without bound.
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
    known->load_hint = std::clamp(load, 0.0, 1.0);
}

std::optional<placement> target_pool::Place(
    const placement_constraints& constraints,
    time_point now) {
  if (const auto probe = PlaceProbe(constraints, now))
    return probe;
  std::vector<std::size_t> candidates;
  std::vector<std::size_t> avoided;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    if (!CanStart(targets_[i], constraints, now))
      continue;
    const bool avoid =
        Contains(constraints.avoid_failure_domains, targets_[i].failure_domain);
    (avoid ? avoided : candidates).push_back(i);
  }
  // A retry waits for another failure domain rather than meet the same fault
  // again; it returns to the avoided one only if there is no other.
  if (candidates.empty() && !avoided.empty() &&
      !HasSlotsElsewhere(*constraints.avoid_failure_domains))
    candidates = std::move(avoided);
  if (candidates.empty())
    return std::nullopt;
  return TakeSlot(PickBestOfTwo(candidates, constraints.isolate), constraints,
                  now);
}

std::optional<placement> target_pool::PlaceProbe(
    const placement_constraints& constraints,
    time_point now) {
  if (!constraints.may_probe)
    return std::nullopt;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    auto& target = targets_[i];
    if (!target.open() || !target.health.MayProbe(now) ||
        target.FreeOwned(now) == 0 ||
        Contains(constraints.avoid_failure_domains, target.failure_domain))
      continue;
    target.health.StartProbe();
    ++target.running_on_owned;
    ++target.running;
    return placement{i, true, std::nullopt};
  }
  return std::nullopt;
}

bool target_pool::CanStart(const target_state& target,
                           const placement_constraints& constraints,
                           time_point now) const {
  if (!target.open() || !target.health.serving() || target.isolating)
    return false;
  return target.FreeOwned(now) > 0 ||
         (constraints.may_borrow &&
          loans_.FindIdle(target.name, constraints.longest, now).has_value());
}

bool target_pool::HasSlotsElsewhere(
    const std::vector<std::string>& avoided) const {
  return std::any_of(
      targets_.begin(), targets_.end(), [&](const target_state& each) {
        return each.open() && each.health.serving() && each.owned > each.lent &&
               !Contains(&avoided, each.failure_domain);
      });
}

// Power of two choices. Many entries choose at the same moment from similar
// information: if each took the best target, all would take the same one. The
// better of two random targets spreads the load and still avoids slow targets.
std::size_t target_pool::PickBestOfTwo(
    const std::vector<std::size_t>& candidates,
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

// Estimates the time that one more request takes on the target: slowness from
// measured outcomes, increased by how much of the target is in use. Lower is
// better.
double target_pool::Score(const target_state& target) const {
  const double slots = std::max(1U, target.owned);
  return target.health.slowness() * (1 + target.running / slots) *
         (1 + kHintWeight * target.load_hint);
}

placement target_pool::TakeSlot(std::size_t index,
                                const placement_constraints& constraints,
                                time_point now) {
  auto& target = targets_[index];
  if (target.last_used != time_point{} && target.running == 0 &&
      now - target.last_used > kColdAfterIdle)
    target.ramp.Restart(now);
  placement placed{index, false, std::nullopt};
  // An owned slot is preferred, so that a loan which is not needed is returned
  // sooner.
  if (target.FreeOwned(now) > 0) {
    ++target.running_on_owned;
  } else {
    placed.loan_id = loans_.FindIdle(target.name, constraints.longest, now);
    if (placed.loan_id)
      loans_.SetBusy(*placed.loan_id, true);
    else
      ++target.running_on_owned;  // The ramp was restarted just above.
  }
  // Any request placed on the target beside a crash suspect would be lost if
  // the suspect crashed it.
  target.isolating = constraints.isolate && target.running == 0;
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
    --target.running_on_owned;
  target.isolating = false;
  target.last_used = now;
  target.health.OnOutcome(outcome, slowness);
  if (outcome == attempt_outcome::kTargetShed)
    target.ramp.Halve(now);
  if (placed.probe)
    EvaluateProbe(target, outcome, slowness, now);
  else if (target.health.serving())
    EjectIfUnhealthy(target, now);
}

void target_pool::EvaluateProbe(target_state& target,
                                attempt_outcome outcome,
                                double slowness,
                                time_point now) {
  if (!target.health.probing())
    return;
  if (outcome == attempt_outcome::kCancelled) {
    target.health.AbandonProbe();
    return;
  }
  if (outcome != attempt_outcome::kOk || slowness > kMaxProbeSlowness) {
    target.health.Eject(ejection_cause::kFailedProbe, now);
    return;
  }
  // One successful response shows that the target is alive, not that it can
  // carry its full load: its caches may be cold after a restart.
  target.health.Readmit();
  target.ramp.Restart(now);
}

void target_pool::EjectIfUnhealthy(target_state& target, time_point now) {
  const bool failed = target.health.IsFailing();
  const bool slow =
      !failed && target.health.IsSlow(MedianSlownessOfPeers(target));
  if ((failed || slow) && CanEjectAnother()) {
    target.health.Eject(
        failed ? ejection_cause::kFailures : ejection_cause::kSlowness, now);
  }
}

bool target_pool::CanEjectAnother() const {
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
