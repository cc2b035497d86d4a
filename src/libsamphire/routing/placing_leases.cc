#include "routing/placing_leases.h"

namespace samphire {

void placing_leases::Grant(const lease_holder& holder, placing_lease lease) {
  Take(holder);
  by_expiry_.emplace(lease.expires, holder);
  leases_.emplace(holder, std::move(lease));
}

std::optional<placing_lease> placing_leases::Take(const lease_holder& holder) {
  auto found = leases_.extract(holder);
  if (found.empty())
    return std::nullopt;
  by_expiry_.erase({found.mapped().expires, holder});
  return std::move(found.mapped());
}

// The datagram that tells of an end may be lost, and its sender may be gone.
// Work that was counted for good would make a target look full for ever, and
// its callers would be refused without need.
std::vector<placing_lease> placing_leases::TakeExpired(time_point now) {
  std::vector<placing_lease> expired;
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    const auto holder = by_expiry_.begin()->second;
    expired.push_back(std::move(*Take(holder)));
  }
  return expired;
}

}  // namespace samphire
