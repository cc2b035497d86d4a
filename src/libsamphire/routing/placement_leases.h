#ifndef ROUTING_PLACEMENT_LEASES_H_
#define ROUTING_PLACEMENT_LEASES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "routing/lease_holder.h"
#include "routing/placement_lease.h"

namespace samphire {

// Leases of attempts that other entries make at targets chosen by this entry. A
// lease lasts until its end is reported or it expires. Not thread-safe.
class placement_leases {
 public:
  // Bounds the memory for leases. Targets of one service never run as many
  // requests for the keys of one entry; a peer that asks for more has to place
  // its requests itself.
  static constexpr std::size_t kMaxLeases = 16'384;

  // Returns whether one more lease may be granted.
  bool HasFreeCapacity() const { return leases_.size() < kMaxLeases; }
  // Adds a lease. Replaces an existing lease of the same holder.
  void Grant(const lease_holder& holder, placement_lease lease);
  // Removes and returns a lease; returns nothing if there is none.
  std::optional<placement_lease> Take(const lease_holder& holder);
  // Removes and returns the leases that have expired by `now` without a report
  // of their end.
  std::vector<placement_lease> TakeExpired(time_point now);

  std::size_t size() const { return leases_.size(); }

 private:
  std::map<lease_holder, placement_lease> leases_;
  std::set<std::pair<time_point, lease_holder>> by_expiry_;
};

}  // namespace samphire

#endif  // ROUTING_PLACEMENT_LEASES_H_
