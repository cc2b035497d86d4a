#include "routing/retry_window.h"

#include <algorithm>

namespace samphire {

namespace {

// The fraction of the bound that is used. It leaves a margin for entries that
// disagree on the number of entries, and for windows that an observer aligns
// differently.
constexpr double kBoundUse = 0.8;
// The fraction that is used while an earlier process of the instance may have
// used the other in the same window.
constexpr double kOverlappingUse = 0.1;

void RemoveBefore(std::deque<time_point>& times, time_point before) {
  while (!times.empty() && times.front() < before)
    times.pop_front();
}

}  // namespace

// Prevents retry storms when many targets of a service fail at once. Each
// failed attempt then needs another one on targets with less free capacity than
// before, and callers retry as well. Without a bound over all entries, the
// working targets would be overloaded by retries. After a restart, an entry has
// forgotten what it sent, and all entries may have restarted.
bool retry_window::HasRoom(const retry_bound& bound,
                           const retry_share& share,
                           time_point now) {
  RemoveBefore(requests_, now - bound.window);
  RemoveBefore(retries_, now - bound.window);
  const double slack =
      share.entries == 0 ? 0 : bound.slack / static_cast<double>(share.entries);
  const double use = share.may_overlap ? kOverlappingUse : kBoundUse;
  const double limit =
      use * (bound.ratio * static_cast<double>(requests_.size()) + slack);
  return static_cast<double>(retries_.size()) + 1 <= limit;
}

bool retry_window::TryTake(const retry_bound& bound,
                           const retry_share& share,
                           time_point now) {
  if (!HasRoom(bound, share, now))
    return false;
  retries_.push_back(now);
  return true;
}

}  // namespace samphire
