#include "decision/shift_budget.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace samphire {

namespace {

// A shift that has sent nothing for this long is over, and the next one starts
// at the initial bound: the caches it had warmed are being pushed out again.
constexpr duration kQuietTime = std::chrono::seconds(30);
// Made for a region that is lost or drained: its whole load turns up elsewhere
// within seconds and meets cold caches, where each request takes several times
// as long. The bound on work in flight is what the destination's operators say
// it can take; the ramp gives caches time to fill.
std::uint32_t RampedTotal(const shift_cap& cap, duration lasted) {
  const std::chrono::duration<double> seconds = lasted;
  const double total = cap.initial + cap.ramp_per_s * seconds.count();
  return static_cast<std::uint32_t>(
      std::min(static_cast<double>(cap.max_in_flight), std::floor(total)));
}

}  // namespace

void shift_budget::SetCaps(const std::vector<shift_cap>& caps,
                           const shift_share& share) {
  share_ = share;
  for (auto& [home, each] : shifts_)
    each.cap.reset();
  for (const auto& cap : caps) {
    if (cap.to == own_region_ && cap.from != own_region_)
      shifts_[cap.from].cap = cap;
  }
  std::erase_if(shifts_, [](const auto& item) {
    return !item.second.cap && item.second.in_flight == 0;
  });
}

void shift_budget::OnArrival(const std::string& home_region, time_point now) {
  if (home_region == own_region_)
    return;
  auto& each = shifts_[home_region];
  const bool quiet = each.in_flight == 0 && (each.last_seen == time_point{} ||
                                             now - each.last_seen > kQuietTime);
  if (quiet)
    each.started = now;
  // Refused requests keep the ramp going too: those callers will be back.
  each.last_seen = now;
}

std::uint32_t shift_budget::room(const std::string& home_region,
                                 time_point now) const {
  const auto found = shifts_.find(home_region);
  if (found == shifts_.end() || !found->second.cap)
    return std::numeric_limits<std::uint32_t>::max();
  const auto bound = LimitOf(found->second, now);
  const auto taken = found->second.in_flight;
  return bound > taken ? bound - taken : 0;
}

void shift_budget::Start(const std::string& home_region, time_point now) {
  if (home_region == own_region_)
    return;
  auto& each = shifts_[home_region];
  ++each.in_flight;
  each.last_seen = now;
}

void shift_budget::Release(const std::string& home_region, time_point now) {
  const auto found = shifts_.find(home_region);
  if (found == shifts_.end() || found->second.in_flight == 0)
    return;
  --found->second.in_flight;
  found->second.last_seen = now;
  if (!found->second.cap && found->second.in_flight == 0)
    shifts_.erase(found);
}

bool shift_budget::IsOverLimit(time_point now) const {
  return std::any_of(shifts_.begin(), shifts_.end(), [&](const auto& item) {
    return item.second.cap && item.second.in_flight > LimitOf(item.second, now);
  });
}

std::uint32_t shift_budget::in_flight(const std::string& home_region) const {
  const auto found = shifts_.find(home_region);
  return found == shifts_.end() ? 0 : found->second.in_flight;
}

std::uint32_t shift_budget::limit(const std::string& home_region,
                                  time_point now) const {
  const auto found = shifts_.find(home_region);
  return found == shifts_.end() ? 0 : LimitOf(found->second, now);
}

std::vector<shift_status> shift_budget::status(time_point now) const {
  std::vector<shift_status> all;
  for (const auto& [home, each] : shifts_)
    all.push_back({home, each.in_flight, LimitOf(each, now)});
  return all;
}

std::uint32_t shift_budget::LimitOf(const shift& each, time_point now) const {
  if (!each.cap)
    return 0;
  const bool idle = each.last_seen == time_point{};
  const duration lasted = idle ? duration::zero() : now - each.started;
  return ShareOf(*each.cap, RampedTotal(*each.cap, lasted));
}

// The shares of all seats add up to `total` exactly, whatever it is: whole
// parts for every seat and the rest one each to the first seats, counted from
// a seat that depends on the caller's region, so that small caps of several
// regions don't all fall to the same entry. The share of a seat never shrinks
// as the total grows, so entries whose ramps started at different times stay
// below the cap together.
std::uint32_t shift_budget::ShareOf(const shift_cap& cap,
                                    std::uint32_t total) const {
  if (share_.seat_count == 0)
    return 0;
  const std::uint32_t whole = total / share_.seat_count;
  const std::uint32_t rest = total % share_.seat_count;
  const auto first = static_cast<std::uint32_t>(
      XXH64(cap.from.data(), cap.from.size(), 0) % share_.seat_count);
  std::uint32_t sum = 0;
  for (const auto seat : share_.seats) {
    if (seat >= share_.seat_count)
      continue;
    const auto turn = (seat + share_.seat_count - first) % share_.seat_count;
    sum += whole + (turn < rest ? 1 : 0);
  }
  return sum;
}

std::optional<duration> shift_budget::UntilRamp(const std::string& home_region,
                                                time_point now) const {
  const auto found = shifts_.find(home_region);
  if (found == shifts_.end() || !found->second.cap)
    return std::nullopt;
  const auto& each = found->second;
  const auto& cap = *each.cap;
  if (cap.ramp_per_s <= 0 || ShareOf(cap, cap.max_in_flight) <= each.in_flight)
    return std::nullopt;
  // The least total at which this entry's share holds one more.
  std::uint32_t total = RampedTotal(cap, now - each.started);
  while (total < cap.max_in_flight && ShareOf(cap, total) <= each.in_flight)
    ++total;
  const double when =
      (total - static_cast<double>(cap.initial)) / cap.ramp_per_s;
  const auto reached = each.started + std::chrono::ceil<duration>(
                                          std::chrono::duration<double>(when));
  return std::max(duration::zero(), reached - now);
}

}  // namespace samphire
