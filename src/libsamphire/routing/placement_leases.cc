#include "routing/placement_leases.h"

namespace samphire {

void placement_leases::Grant(const lease_holder& holder,
                             placement_lease lease) {
  Take(holder);
  by_expiry_.emplace(lease.expires, holder);
  leases_.emplace(holder, std::move(lease));
}

std::optional<placement_lease> placement_leases::Take(
    const lease_holder& holder) {
  auto found = leases_.extract(holder);
  if (found.empty())
    return std::nullopt;
  by_expiry_.erase({found.mapped().expires, holder});
  return std::move(found.mapped());
}

// Bounds the time for which an attempt counts as load without a report of its
// end: the datagram that reports the end may be lost, and its sender may have
// crashed. If such attempts counted forever, the target would appear full and
// its callers would be refused without need.
std::vector<placement_lease> placement_leases::TakeExpired(time_point now) {
  std::vector<placement_lease> expired;
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const auto holder = by_expiry_.begin()->second;
    expired.push_back(std::move(*Take(holder)));
  }
  return expired;
}

}  // namespace samphire
