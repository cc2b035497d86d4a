#include "routing/retry_window.h"

#include <algorithm>

namespace samphire {

namespace {

// The share of the bound that is used: entries may disagree on how many they
// are, and the windows of those who count need not be ours.
constexpr double kUse = 0.8;

void Forget(std::deque<time_point>& times, time_point before) {
  while (!times.empty() && times.front() < before)
    times.pop_front();
}

}  // namespace

// Made for the moment in which many targets of a service fail at once: each
// failed attempt then asks for another, on targets that have less room than
// before, and callers retry as well. Without a bound over all entries, the
// targets that still work drown in repeats. An entry that does not know yet how
// many others there are uses only what its own requests allow: after a crash of
// all, each would take the whole slack for itself.
bool retry_window::TryTake(const retry_bound& bound,
                           std::size_t entries,
                           time_point now) {
  Forget(requests_, now - bound.window);
  Forget(retries_, now - bound.window);
  const double slack =
      entries == 0 ? 0 : bound.slack / static_cast<double>(entries);
  const double most =
      kUse * (bound.ratio * static_cast<double>(requests_.size()) + slack);
  if (static_cast<double>(retries_.size()) + 1 > most)
    return false;
  retries_.push_back(now);
  return true;
}

}  // namespace samphire
