// Slot counts of the pool: free, usable and lent slots.

#include <algorithm>

#include "decision/target_pool.h"

namespace samphire {

namespace {

// How often ramps are evaluated again while requests wait.
constexpr duration kRampStep = std::chrono::milliseconds(50);

}  // namespace

std::optional<lent_slot> target_pool::Lend(time_point now) {
  target_state* best = nullptr;
  for (auto& each : targets_) {
    if (!IsLendable(each, now))
      continue;
    if (best == nullptr || each.FreeOwned(now) > best->FreeOwned(now))
      best = &each;
  }
  if (best == nullptr)
    return std::nullopt;
  ++best->lent;
  return lent_slot{best->name};
}

bool target_pool::CanLend(time_point now) const {
  return std::any_of(
      targets_.begin(), targets_.end(),
      [&](const target_state& each) { return IsLendable(each, now); });
}

// A borrower does not know that a target is ramping up or ejected at this entry
// and would put full load on it; a target with a crash suspect must run nothing
// else.
bool target_pool::IsLendable(const target_state& target, time_point now) {
  return target.open() && target.health.serving() && !target.isolating &&
         target.ramp.complete(now) && target.FreeOwned(now) > 0;
}

void target_pool::RestoreLentSlot(std::string_view target) {
  auto* known = FindTarget(target);
  if (known != nullptr && known->lent > 0)
    --known->lent;
}

bool target_pool::IsOpen(std::string_view target) const {
  return std::any_of(
      targets_.begin(), targets_.end(), [&](const target_state& each) {
        return each.name == target && each.open() && each.health.serving();
      });
}

bool target_pool::MayStartAny(time_point now) const {
  if (loans_.idle(now) > 0)
    return true;
  return std::any_of(
      targets_.begin(), targets_.end(), [&](const target_state& each) {
        const bool usable = each.health.serving() || each.health.MayProbe(now);
        return each.open() && usable && each.FreeOwned(now) > 0;
      });
}

std::uint32_t target_pool::FreeSlots(time_point now) const {
  return FreeOwnedSlots(now) + loans_.idle(now);
}

std::uint32_t target_pool::FreeOwnedSlots(time_point now) const {
  std::uint32_t count = 0;
  for (const auto& each : targets_) {
    if (each.open() && each.health.serving())
      count += each.FreeOwned(now);
  }
  return count;
}

std::uint32_t target_pool::UsableSlots(time_point now) const {
  auto count = static_cast<std::uint32_t>(loans_.size());
  for (const auto& each : targets_) {
    if (!each.open() || !each.health.serving())
      continue;
    const auto own = each.owned > each.lent ? each.owned - each.lent : 0;
    count += each.ramp.usable(own, now);
  }
  return count;
}

bool target_pool::AnyOpen() const {
  return std::any_of(targets_.begin(), targets_.end(),
                     [](const target_state& each) { return each.open(); });
}

std::optional<time_point> target_pool::NextChange(time_point now) const {
  std::optional<time_point> next = loans_.next_expiry();
  const auto consider = [&](time_point when) {
    if (!next || when < *next)
      next = when;
  };
  for (const auto& each : targets_) {
    if (!each.open() || each.owned == 0)
      continue;
    if (each.health.serving() && !each.ramp.complete(now))
      consider(now + kRampStep);
    if (each.health.ejected() && !each.health.probing())
      consider(std::max(each.health.ejected_until(), now + kRampStep));
  }
  return next;
}

}  // namespace samphire
