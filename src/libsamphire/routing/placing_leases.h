#ifndef ROUTING_PLACING_LEASES_H_
#define ROUTING_PLACING_LEASES_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "routing/lease_holder.h"
#include "routing/placing_lease.h"

namespace samphire {

// Attempts that other entries make at targets which this one chose, until
// they are told to have ended or expire. Not thread-safe.
class placing_leases {
 public:
  // More than targets of one service have in work for one entry's keys; a peer
  // that grants itself more is told to place by itself.
  static constexpr std::size_t kMaxLeases = 16'384;

  // Whether one more may be granted.
  bool HasRoom() const { return leases_.size() < kMaxLeases; }
  // A lease that the holder has already is replaced.
  void Grant(const lease_holder& holder, placing_lease lease);
  // Ends a lease; nothing if there is none.
  std::optional<placing_lease> Take(const lease_holder& holder);
  // Ends those whose holders did not tell of an end in time.
  std::vector<placing_lease> TakeExpired(time_point now);

  std::size_t size() const { return leases_.size(); }

 private:
  std::map<lease_holder, placing_lease> leases_;
  std::set<std::pair<time_point, lease_holder>> by_expiry_;
};

}  // namespace samphire

#endif  // ROUTING_PLACING_LEASES_H_
