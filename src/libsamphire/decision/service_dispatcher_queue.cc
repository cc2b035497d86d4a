// How the dispatcher bounds its queue and serves it.

#include <algorithm>
#include <chrono>

#include "decision/service_dispatcher.h"

namespace samphire {

namespace {

using std::chrono::milliseconds;

// Where no better time is known, callers come back after this.
constexpr duration kRetryWithoutTarget = milliseconds(1000);
constexpr duration kLeastRetry = milliseconds(1);
// A request may be given room for the longest work of its class only out of
// half its time; else a class whose deadline is near its longest work would
// never be queued at all.
constexpr int kTailShareOfTime = 2;
// Of two waiters at different entries, a slot moves to the longer waiting only
// if it has waited this much longer: the move itself costs a round trip in
// which the slot stands idle.
constexpr duration kMoveMargin = milliseconds(5);

}  // namespace

// Made for overload: what can't be answered in time is refused while its caller
// can still turn elsewhere, and takes no slot from what can. Each bound is
// checked on arrival, so that no refusal is held back.
std::optional<refusal> service_dispatcher::RefuseAtOnce(
    const admission_request& request,
    const class_load& load,
    time_point now) {
  if (!pool_.AnyOpen())
    return Refuse(result_code::kNoTargetAvailable, kRetryWithoutTarget);
  // Even with a slot free at once the usual service time must fit; only a
  // request that waits has to leave room for the longest.
  const auto whole = request.deadline - request.arrived;
  const auto needed = std::min(load.service.mean(), whole / kTailShareOfTime);
  if (request.deadline - now < needed)
    return Refuse(result_code::kDeadlineUnreachable, kLeastRetry);
  return std::nullopt;
}

std::optional<refusal> service_dispatcher::RefuseToQueue(
    const admission_request& request,
    const class_load& load,
    time_point now) {
  const auto kind = load.rules.kind;
  const auto rank = load.rules.priority;
  const auto wait = ExpectedWait(kind, queue_.ahead(kind, rank), now);
  const double draw = std::uniform_real_distribution<>(0, 1)(random_);
  if (kind == request_kind::kInteractive && !shedder_.Admits(rank, draw, now)) {
    return Refuse(result_code::kShedByPriority,
                  ExpectedWait(kind, queue_.size(kind), now));
  }
  if (load.queued >= load.rules.queue_limit)
    return Refuse(result_code::kQueueFull, wait);
  const auto left = request.deadline - now;
  const auto needed = NeededTime(load, request.deadline - request.arrived);
  if (wait + needed > left)
    return Refuse(result_code::kDeadlineUnreachable, wait + needed - left);
  return std::nullopt;
}

refusal service_dispatcher::Refuse(result_code reason, duration retry_after) {
  ++refusals_[reason];
  return {reason,
          std::chrono::ceil<milliseconds>(std::max(retry_after, kLeastRetry))};
}

duration service_dispatcher::NeededTime(const class_load& load,
                                        duration whole_time) const {
  const duration mean = load.service.mean();
  const duration room_for_tail = whole_time / kTailShareOfTime;
  return std::max(mean, std::min(load.service.tail(), room_for_tail));
}

duration service_dispatcher::ExpectedWait(request_kind kind,
                                          std::size_t ahead,
                                          time_point now) const {
  const auto held = pool_.UsableSlots(now);
  auto slots = held;
  if (kind == request_kind::kBulk)
    slots = bulk_.allowed(held);
  slots = std::max(1U, slots);
  const auto mean = kind_service_[static_cast<std::size_t>(kind)].mean();
  return mean * static_cast<std::int64_t>(ahead + 1) / slots;
}

void service_dispatcher::NoteInteractiveLoad(time_point now) {
  const auto waiting = queue_.size(request_kind::kInteractive);
  bulk_.OnInteractiveLoad(
      interactive_running_ + static_cast<std::uint32_t>(waiting), now);
}

bool service_dispatcher::BulkMayStart(time_point now) const {
  return queue_.size(request_kind::kInteractive) == 0 &&
         bulk_running_ < bulk_.allowed(pool_.UsableSlots(now));
}

// Interactive work may use every slot for hours of rain; bulk work then gets
// one slot after a part of its time, so that an archive still arrives.
bool service_dispatcher::BulkIsStarved(time_point now) const {
  if (bulk_running_ > 0)
    return false;
  const auto* first = queue_.oldest(request_kind::kBulk);
  if (first == nullptr || bounds_.bulk_percent == 0)
    return false;
  const auto whole = first->request.deadline - first->request.arrived;
  return now - first->request.arrived >=
         bulk_.patience(pool_.UsableSlots(now), whole);
}

// Callers are promised the same wait at each entry of the region, so the next
// slot goes to whoever has waited longest, here or at a peer. Only a slot that
// can be lent is left: one of a target that is warming up stays here.
bool service_dispatcher::LeavesSlotToPeer(time_point arrived,
                                          time_point now) const {
  return oldest_ask_ && *oldest_ask_ + kMoveMargin < arrived &&
         pool_.CanLend(now);
}

std::vector<wakeup> service_dispatcher::Serve(time_point now) {
  std::vector<wakeup> wakeups;
  Expire(now, wakeups);
  if (BulkIsStarved(now))
    ServeOne(request_kind::kBulk, now, wakeups);
  while (ServeOne(request_kind::kInteractive, now, wakeups)) {
  }
  while (BulkMayStart(now) && ServeOne(request_kind::kBulk, now, wakeups)) {
  }
  return wakeups;
}

void service_dispatcher::Expire(time_point now, std::vector<wakeup>& wakeups) {
  while (const auto entry = queue_.RemoveExpired(now)) {
    shifts_.Release(entry->request.home_region, now);
    const auto kind = entry->load->rules.kind;
    wakeups.push_back({entry->request.id,
                       Refuse(result_code::kQueueExpired,
                              ExpectedWait(kind, queue_.size(kind), now))});
  }
}

bool service_dispatcher::ServeOne(request_kind kind,
                                  time_point now,
                                  std::vector<wakeup>& wakeups) {
  std::optional<slot_grant> grant;
  const auto* served = queue_.Find(kind, [&](waiter& entry) {
    if (kind == request_kind::kInteractive &&
        LeavesSlotToPeer(entry.request.arrived, now))
      return false;
    grant = TryStart(entry.request, *entry.load, now);
    return grant.has_value();
  });
  if (served == nullptr)
    return false;
  if (kind == request_kind::kInteractive)
    shedder_.OnStart(now - served->request.arrived, now);
  queue_.Remove(grant->request_id);
  NoteInteractiveLoad(now);
  wakeups.push_back({grant->request_id, std::move(*grant)});
  return true;
}

time_point service_dispatcher::NextTick(time_point now) const {
  auto next = time_point::max();
  if (const auto expiry = queue_.next_expiry())
    next = std::min(next, *expiry + milliseconds(1));
  if (const auto loan = pool_.loans().next_expiry())
    next = std::min(next, *loan);
  if (!queue_.empty()) {
    if (const auto change = pool_.NextChange(now))
      next = std::min(next, *change);
  }
  return std::max(next, now);
}

}  // namespace samphire
