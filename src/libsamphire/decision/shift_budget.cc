#include "decision/shift_budget.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace samphire {

namespace {

// A shift without any request for this long has ended, and the next one starts
// at the initial bound, since the caches that it had warmed are being evicted.
constexpr duration kShiftIdleTime = std::chrono::seconds(30);
// Protects against the load of a region that is lost or drained: within seconds
// all of it arrives at other regions and meets cold caches, where each request
// takes several times as long. The bound on work in flight is what the
// operators of the destination declare it can take; the ramp gives its caches
// time to fill.
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
  const bool quiet =
      each.in_flight == 0 &&
      (each.last_seen == time_point{} || now - each.last_seen > kShiftIdleTime);
  if (quiet)
    each.started = now;
  // Refused requests keep the ramp going as well, since their callers will
  // retry.
  each.last_seen = now;
}

std::uint32_t shift_budget::free_capacity(const std::string& home_region,
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

// The shares of all slot partitions add up to `total` exactly: each partition
// gets the integer quotient, and the remainder is handed out one by one to
// consecutive partitions, starting at one that depends on the caller's region,
// so that small caps of several regions don't all go to the same entry. The
// share of a partition never shrinks as the total grows, so entries whose ramps
// started at different times stay below the cap together.
std::uint32_t shift_budget::ShareOf(const shift_cap& cap,
                                    std::uint32_t total) const {
  if (share_.partition_count == 0)
    return 0;
  const std::uint32_t whole = total / share_.partition_count;
  const std::uint32_t rest = total % share_.partition_count;
  const auto first = static_cast<std::uint32_t>(
      XXH64(cap.from.data(), cap.from.size(), 0) % share_.partition_count);
  std::uint32_t sum = 0;
  for (const auto partition : share_.partitions) {
    if (partition >= share_.partition_count)
      continue;
    const auto turn =
        (partition + share_.partition_count - first) % share_.partition_count;
    sum += whole + (turn < rest ? 1 : 0);
  }
  return sum;
}

std::optional<duration> shift_budget::TimeUntilFreeCapacity(
    const std::string& home_region,
    time_point now) const {
  const auto found = shifts_.find(home_region);
  if (found == shifts_.end() || !found->second.cap)
    return std::nullopt;
  const auto& each = found->second;
  const auto& cap = *each.cap;
  if (cap.ramp_per_s <= 0 || ShareOf(cap, cap.max_in_flight) <= each.in_flight)
    return std::nullopt;
  // Finds the smallest total at which this entry's share exceeds its work in
  // flight by one.
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
