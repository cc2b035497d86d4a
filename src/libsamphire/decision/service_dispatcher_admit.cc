// What the dispatcher refuses on arrival, and when it says to come back.

#include <algorithm>
#include <chrono>

#include "decision/service_dispatcher.h"

namespace samphire {

namespace {

using std::chrono::milliseconds;

// Where no better time is known, callers come back after this.
constexpr duration kRetryWithoutTarget = milliseconds(1000);
constexpr int kCapWaitInServices = 8;
constexpr duration kRetryAtCap = milliseconds(500);
constexpr duration kLeastRetry = milliseconds(1);
constexpr duration kLongestRetry = milliseconds(30'000);
// A request may be given room for the longest work of its class only out of
// half its time; else a class whose deadline is near its longest work would
// never be queued at all.
constexpr int kTailShareOfTime = 2;
// The quickest of a class takes some part of the mean; below that it is
// hopeless.
constexpr int kHopelessPart = 4;
constexpr duration kFreshEstimate = milliseconds(1000);
// On top of the longest work seen, since the next may be longer still.
constexpr int kTailMarginPart = 8;
// Longer than any deadline: the shift cap leaves this entry no share.
constexpr duration kNever = std::chrono::hours(1);

}  // namespace

// Made for requests that no queue can help: nowhere to run, or no time left.
std::optional<refusal> service_dispatcher::RefuseAtOnce(
    const admission_request& request,
    const class_load& load,
    time_point now) {
  if (!pool_.AnyOpen())
    return Refuse(result_code::kNoTargetAvailable, kRetryWithoutTarget);
  // Even with a slot free at once the usual service time must fit; only a
  // request that waits has to leave room for the longest.
  const auto left = request.deadline - now;
  const auto whole = request.deadline - request.arrived;
  const auto mean = load.service.mean();
  if (left < std::min(mean, whole / kTailShareOfTime))
    return Refuse(result_code::kDeadlineUnreachable, kLeastRetry);
  // One that asks for far less time than its class takes would only be cut off
  // at the target. The estimate has to be fresh: were every request refused by
  // an old one, nothing would ever correct it.
  const bool fresh = now - load.measured_at < kFreshEstimate;
  if (load.service.measured() && fresh && left < mean / kHopelessPart)
    return Refuse(result_code::kDeadlineUnreachable, kRetryWithoutTarget);
  return std::nullopt;
}

// Made for overload: what can't be answered in time is refused while its caller
// can still turn elsewhere, and takes no slot from what can. Each bound is
// checked on arrival, so that no refusal is held back.
std::optional<refusal> service_dispatcher::RefuseToQueue(
    const admission_request& request,
    const class_load& load,
    time_point now) {
  const auto& rules = load.rules;
  const bool interactive = rules.kind == request_kind::kInteractive;
  const auto wait =
      ExpectedWait(rules.kind, rules.priority, request.home_region, now);
  const double draw = std::uniform_real_distribution<>(0, 1)(random_);
  // A retry was admitted once; shed now, its first attempt was for nothing.
  if (interactive && !request.retry &&
      !shedder_.Admits(rules.priority, draw, now))
    return Refuse(result_code::kShedByPriority, wait);
  if (load.queued >= rules.queue_limit)
    return Refuse(result_code::kQueueFull, wait);
  const auto left = request.deadline - now;
  const auto needed = NeededTime(load, request.deadline - request.arrived);
  const auto cap_wait = ShiftWait(load, request.home_region, now);
  // Callers from elsewhere don't stand in line for a cap that stays in use for
  // minutes: a short line keeps its share busy, the others are told to come
  // back, or to turn elsewhere, at once.
  const auto cap_bound = load.service.mean() * kCapWaitInServices;
  if (cap_wait > cap_bound || cap_wait + needed > left) {
    const auto ramp = shifts_->UntilRamp(request.home_region, now);
    return Refuse(result_code::kShiftCapReached, ramp.value_or(kRetryAtCap));
  }
  if (wait + needed > left)
    return Refuse(result_code::kDeadlineUnreachable, wait + needed - left);
  const auto bound =
      shedder_.WaitBound(kind_service_[IndexOf(rules.kind)].mean());
  if (interactive && wait > bound)
    return Refuse(result_code::kQueueFull, wait - bound);
  return std::nullopt;
}

refusal service_dispatcher::Refuse(result_code reason, duration retry_after) {
  ++refusals_[reason];
  return {reason, std::chrono::ceil<milliseconds>(
                      std::clamp(retry_after, kLeastRetry, kLongestRetry))};
}

duration service_dispatcher::NeededTime(const class_load& load,
                                        duration whole_time) const {
  const duration tail = load.service.tail();
  return std::max(load.service.mean(), std::min(tail + tail / kTailMarginPart,
                                                whole_time / kTailShareOfTime));
}

duration service_dispatcher::Pace(request_kind kind, time_point now) const {
  const auto measured = interactive_gap_.mean(now);
  if (kind == request_kind::kInteractive && measured)
    return *measured;
  const auto held = pool_.UsableSlots(now);
  const auto slots = kind == request_kind::kBulk ? bulk_.allowed(held) : held;
  return kind_service_[IndexOf(kind)].mean() / std::max(1U, slots);
}

duration service_dispatcher::ExpectedWait(request_kind kind,
                                          priority rank,
                                          const std::string& home_region,
                                          time_point now) const {
  std::int64_t ahead = 0;
  for (const auto& lane : queue_.lanes()) {
    auto count = queue_.InLane(lane->home_region, kind, rank);
    // Waiters that a shift cap holds up don't stand before anyone else.
    if (lane->home_region != home_region)
      count =
          std::min<std::size_t>(count, shifts_->room(lane->home_region, now));
    ahead += static_cast<std::int64_t>(count);
  }
  return Pace(kind, now) * (ahead + 1);
}

duration service_dispatcher::ShiftWait(const class_load& load,
                                       const std::string& home_region,
                                       time_point now) const {
  const auto waiting =
      queue_.InLane(home_region, load.rules.kind, load.rules.priority);
  const auto room = shifts_->room(home_region, now);
  if (waiting < room)
    return duration::zero();
  const auto share = shifts_->limit(home_region, now);
  if (share == 0)
    return shifts_->UntilRamp(home_region, now).value_or(kNever);
  const auto turns = static_cast<std::int64_t>(waiting - room + 1);
  return load.service.mean() * turns / share;
}

}  // namespace samphire
