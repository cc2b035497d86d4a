// Admission control on arrival: what the dispatcher refuses, and the retry time
// that it returns.

#include <algorithm>
#include <chrono>

#include "decision/service_dispatcher.h"

namespace samphire {

namespace {

using std::chrono::milliseconds;

// Retry time where no better estimate exists.
constexpr duration kNoTargetRetryAfter = milliseconds(1000);
// Longest wait for a shift cap, in mean service times.
constexpr int kMaxShiftWaitInServiceTimes = 8;
// Retry time where the ramp of a shift cap is complete.
constexpr duration kShiftCapRetryAfter = milliseconds(500);
// Bounds on every retry time that is returned.
constexpr duration kMinRetryAfter = milliseconds(1);
constexpr duration kMaxRetryAfter = milliseconds(30'000);
// The reserve for the longest work of a class may take at most half of the
// request's time; otherwise a class whose deadline is near its longest work
// would never be queued at all.
constexpr int kTailTimeDivisor = 2;
// The quickest request of a class takes some fraction of the mean service time;
// one with less time left than this fraction can't succeed.
constexpr int kMinServiceTimeDivisor = 4;
// A service time estimate older than this refuses no request.
constexpr duration kMaxEstimateAge = milliseconds(1000);
// Margin on top of the longest work seen, since the next may be longer still.
constexpr int kTailMarginDivisor = 8;
// Expected wait where the shift cap leaves this entry no share: longer than any
// deadline.
constexpr duration kNoShareWait = std::chrono::hours(1);

}  // namespace

// Refuses requests that waiting can't help: there is no target to run them, or
// no time left.
std::optional<refusal> service_dispatcher::RefuseAtOnce(
    const admission_request& request,
    const class_load& load,
    time_point now) {
  if (!pool_.AnyOpen())
    return Refuse(result_code::kNoTargetAvailable, kNoTargetRetryAfter);
  // Even if a slot is free immediately, the usual service time must fit; only a
  // request that waits has to reserve time for the longest work.
  const auto left = request.deadline - now;
  const auto whole = request.deadline - request.arrived;
  const auto mean = load.service.mean();
  if (left < std::min(mean, whole / kTailTimeDivisor))
    return Refuse(result_code::kDeadlineUnreachable, kMinRetryAfter);
  // A request with far less time than its class takes would only be cut off at
  // the target. The estimate has to be recent: if an outdated one caused every
  // request to be refused, no new sample would ever correct it.
  const bool fresh = now - load.measured_at < kMaxEstimateAge;
  if (load.service.measured() && fresh && left < mean / kMinServiceTimeDivisor)
    return Refuse(result_code::kDeadlineUnreachable, kNoTargetRetryAfter);
  return std::nullopt;
}

// Protects against overload: a request that can't be answered in time is
// refused while its caller can still use another entry or region, and takes no
// slot from one that can. Every bound is checked on arrival, so that no refusal
// is delayed.
std::optional<refusal> service_dispatcher::RefuseToQueue(
    const admission_request& request,
    const class_load& load,
    time_point now) {
  const auto& rules = load.rules;
  const bool interactive = rules.kind == request_kind::kInteractive;
  const auto wait =
      ExpectedWait(rules.kind, rules.priority, request.home_region, now);
  const double draw = std::uniform_real_distribution<>(0, 1)(random_);
  // A retry was admitted once; shedding it now would waste its first attempt.
  if (interactive && !request.retry &&
      !shedder_.Admits(rules.priority, draw, now))
    return Refuse(result_code::kShedByPriority, wait);
  if (load.queued >= rules.queue_limit)
    return Refuse(result_code::kQueueFull, wait);
  const auto left = request.deadline - now;
  const auto needed = NeededTime(load, request.deadline - request.arrived);
  const auto cap_wait = ShiftWait(load, request.home_region, now);
  // Callers from other regions don't queue for a cap that stays in use for
  // minutes: a short queue keeps its share busy, and the other callers are told
  // immediately to retry later or to use another region.
  const auto cap_bound = load.service.mean() * kMaxShiftWaitInServiceTimes;
  if (cap_wait > cap_bound || cap_wait + needed > left) {
    const auto ramp = shifts_->TimeUntilFreeCapacity(request.home_region, now);
    return Refuse(result_code::kShiftCapReached,
                  ramp.value_or(kShiftCapRetryAfter));
  }
  if (wait + needed > left)
    return Refuse(result_code::kDeadlineUnreachable, wait + needed - left);
  const auto bound =
      shedder_.WaitBound(service_time_by_kind_[IndexOf(rules.kind)].mean());
  if (interactive && wait > bound)
    return Refuse(result_code::kQueueFull, wait - bound);
  return std::nullopt;
}

refusal service_dispatcher::Refuse(result_code reason, duration retry_after) {
  ++refusals_[reason];
  return {reason, std::chrono::ceil<milliseconds>(
                      std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter))};
}

duration service_dispatcher::NeededTime(const class_load& load,
                                        duration whole_time) const {
  const duration tail = load.service.tail();
  return std::max(load.service.mean(),
                  std::min(tail + tail / kTailMarginDivisor,
                           whole_time / kTailTimeDivisor));
}

duration service_dispatcher::StartInterval(request_kind kind,
                                           time_point now) const {
  const auto measured = interactive_start_interval_.mean(now);
  if (kind == request_kind::kInteractive && measured)
    return *measured;
  const auto held = pool_.UsableSlots(now);
  const auto slots = kind == request_kind::kBulk ? bulk_.allowed(held) : held;
  return service_time_by_kind_[IndexOf(kind)].mean() / std::max(1U, slots);
}

duration service_dispatcher::ExpectedWait(request_kind kind,
                                          priority rank,
                                          const std::string& home_region,
                                          time_point now) const {
  std::int64_t ahead = 0;
  for (const auto& lane : queue_.lanes()) {
    auto count = queue_.CountInLane(lane->home_region, kind, rank);
    // Waiting requests that are held back by a shift cap don't delay those of
    // other regions.
    if (lane->home_region != home_region)
      count = std::min<std::size_t>(
          count, shifts_->free_capacity(lane->home_region, now));
    ahead += static_cast<std::int64_t>(count);
  }
  return StartInterval(kind, now) * (ahead + 1);
}

duration service_dispatcher::ShiftWait(const class_load& load,
                                       const std::string& home_region,
                                       time_point now) const {
  const auto waiting =
      queue_.CountInLane(home_region, load.rules.kind, load.rules.priority);
  const auto free_capacity = shifts_->free_capacity(home_region, now);
  if (waiting < free_capacity)
    return duration::zero();
  const auto share = shifts_->limit(home_region, now);
  if (share == 0)
    return shifts_->TimeUntilFreeCapacity(home_region, now)
        .value_or(kNoShareWait);
  const auto turns = static_cast<std::int64_t>(waiting - free_capacity + 1);
  return load.service.mean() * turns / share;
}

}  // namespace samphire
