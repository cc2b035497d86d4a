#include "traffic/stop_schedule.h"

#include <algorithm>

namespace samphire {

namespace {

// Time in which gossip tells the region that an entry leaves, about a second.
constexpr milliseconds kLeavingPropagationTime{1200};
// The reserve before the kill is this part of the time until the kill, but no
// less than kMinReserve where that leaves two thirds of it.
constexpr int kReservePart = 12;
constexpr int kMaxReservePart = 3;
constexpr milliseconds kMinReserve{250};

// Returns the time before the kill at which requests are cut. The threads of a
// busy processor run late by no more on account of a short grace, so that the
// reserve doesn't shrink with it for as long as there is room.
duration ReserveOf(duration grace) {
  return std::max<duration>(
      grace / kReservePart,
      std::min<duration>(kMinReserve, grace / kMaxReservePart));
}

}  // namespace

stop_schedule PlanStop(time_point requested,
                       milliseconds grace,
                       milliseconds lookup_ttl) {
  const auto kill_at = requested + std::max(grace, milliseconds{0});
  const auto reserve = ReserveOf(kill_at - requested);
  stop_schedule plan;
  plan.requested = requested;
  plan.cut_at = kill_at - reserve;
  plan.keep_until = std::max(requested, plan.cut_at - reserve);
  plan.serve_until = std::min(requested + lookup_ttl + kLeavingPropagationTime,
                              plan.keep_until);
  plan.end_by = kill_at - reserve / 2;
  return plan;
}

}  // namespace samphire
