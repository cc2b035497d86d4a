// How the dispatcher serves its queue.

#include <algorithm>
#include <chrono>
#include <utility>

#include "decision/service_dispatcher.h"

namespace samphire {

namespace {

using std::chrono::milliseconds;

// Of two requests waiting at different entries, a slot moves to the one that
// has waited longer only if it has waited this much longer: moving the slot
// costs a round trip during which it is idle.
constexpr duration kLoanRequestMargin = milliseconds(5);
// Shortest time between ticks for the ramp of a shift cap.
constexpr duration kMinRampWait = milliseconds(1);

}  // namespace

void service_dispatcher::RecordInteractiveLoad(time_point now) {
  const auto waiting = queue_.size(request_kind::kInteractive);
  bulk_.OnInteractiveLoad(
      interactive_running_ + static_cast<std::uint32_t>(waiting), now);
}

bool service_dispatcher::BulkMayStart(time_point now) const {
  return !HasStartableRequest(now) &&
         bulk_running_ < bulk_.allowed(pool_.UsableSlots(now));
}

// When it rains, interactive work may use every slot for hours; bulk work then
// gets one slot after a part of its time has passed, so that an archive still
// arrives in time.
bool service_dispatcher::IsBulkStarved(time_point now) const {
  if (bulk_running_ > 0)
    return false;
  const auto* first = queue_.oldest(request_kind::kBulk);
  if (first == nullptr || bounds_.bulk_percent == 0)
    return false;
  const auto whole = first->request.deadline - first->request.arrived;
  return now - first->request.arrived >=
         bulk_.starvation_limit(pool_.UsableSlots(now), whole);
}

// Callers are promised the same wait at every entry of the region, so the next
// slot goes to the request that has waited longest, here or at a peer. Only a
// slot that can be lent is left to the peer: a slot of a target that is warming
// up stays here.
bool service_dispatcher::YieldsSlotToPeer(time_point arrived,
                                          time_point now) const {
  return oldest_loan_request_ &&
         *oldest_loan_request_ + kLoanRequestMargin < arrived &&
         pool_.CanLend(now);
}

std::vector<wakeup> service_dispatcher::Serve(time_point now) {
  std::vector<wakeup> wakeups;
  Expire(now, wakeups);
  if (IsBulkStarved(now))
    ServeOne(request_kind::kBulk, now, wakeups);
  while (ServeOne(request_kind::kInteractive, now, wakeups)) {
  }
  while (BulkMayStart(now) && ServeOne(request_kind::kBulk, now, wakeups)) {
  }
  return wakeups;
}

void service_dispatcher::Expire(time_point now, std::vector<wakeup>& wakeups) {
  while (const auto entry = queue_.RemoveExpired(now))
    wakeups.push_back(RefuseExpired(*entry, now));
}

wakeup service_dispatcher::RefuseExpired(const waiter& entry, time_point now) {
  const auto& rules = entry.load->rules;
  const auto wait =
      ExpectedWait(rules.kind, rules.priority, entry.request.home_region, now);
  return {entry.request.id, Refuse(result_code::kQueueExpired, wait)};
}

// The latest start was computed when the request arrived; the time that its
// class is known to need may have increased since.
bool service_dispatcher::IsTooLate(const waiter& entry, time_point now) const {
  const auto whole = entry.request.deadline - entry.request.arrived;
  return now + NeededTime(*entry.load, whole) > entry.request.deadline;
}

bool service_dispatcher::ServeOne(request_kind kind,
                                  time_point now,
                                  std::vector<wakeup>& wakeups) {
  if (!pool_.MayStartAny(now))
    return false;
  std::optional<slot_grant> grant;
  std::vector<std::uint64_t> too_late;
  const auto* served = queue_.Find(kind, [&](waiter& entry) {
    if (IsTooLate(entry, now)) {
      too_late.push_back(entry.request.id);
      return false;
    }
    if (shifts_->free_capacity(entry.request.home_region, now) == 0 ||
        (kind == request_kind::kInteractive &&
         YieldsSlotToPeer(entry.request.arrived, now)))
      return false;
    grant = TryStart(entry.request, *entry.load, now);
    return grant.has_value();
  });
  const auto waited =
      served == nullptr ? duration::zero() : now - served->request.arrived;
  const auto rank =
      served == nullptr ? priority::kNormal : served->load->rules.priority;
  if (served != nullptr)
    queue_.Remove(grant->request_id);
  for (const auto id : too_late)
    wakeups.push_back(RefuseExpired(*queue_.Remove(id), now));
  // With the expired requests removed, those behind them can be served.
  if (served == nullptr)
    return !too_late.empty();
  if (kind == request_kind::kInteractive)
    RecordInteractiveStart(rank, waited, now);
  wakeups.push_back({grant->request_id, std::move(*grant)});
  return true;
}

void service_dispatcher::RecordInteractiveStart(priority rank,
                                                duration waited,
                                                time_point now) {
  const auto mean =
      service_time_by_kind_[IndexOf(request_kind::kInteractive)].mean();
  shedder_.OnStart(rank, waited, mean, now);
  interactive_start_interval_.OnStart(HasStartableRequest(now), now);
  RecordInteractiveLoad(now);
}

// Returns whether an interactive request waits for nothing but a slot.
bool service_dispatcher::HasStartableRequest(time_point now) const {
  return queue_.Find(request_kind::kInteractive, [&](const waiter& entry) {
    return shifts_->free_capacity(entry.request.home_region, now) > 0;
  }) != nullptr;
}

time_point service_dispatcher::NextTick(time_point now) const {
  auto next = time_point::max();
  if (const auto expiry = queue_.next_expiry())
    next = std::min(next, *expiry + milliseconds(1));
  if (const auto loan = pool_.loans().next_expiry())
    next = std::min(next, *loan);
  if (queue_.empty())
    return std::max(next, now);
  if (const auto change = pool_.NextChange(now))
    next = std::min(next, *change);
  for (const auto& lane : queue_.lanes()) {
    if (const auto ramp =
            shifts_->TimeUntilFreeCapacity(lane->home_region, now))
      next = std::min(next, now + std::max(*ramp, kMinRampWait));
  }
  return std::max(next, now);
}

}  // namespace samphire
