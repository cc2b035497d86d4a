#ifndef ROUTING_PERMIT_SHARES_H_
#define ROUTING_PERMIT_SHARES_H_

#include <cstddef>

#include "base/clock_source.h"
#include "routing/permit_role.h"

namespace samphire {

// The division of a limit among entries, as seen by one entry.
struct permit_shares {
  std::size_t regions = 1;
  // Live entries of this region: now, and their maximum over the last minute.
  std::size_t region_entries = 1;
  std::size_t region_peak = 1;
  // The maximum number of entries in all regions over the last minute.
  std::size_t fleet_peak = 1;
  // Permits that each region may accumulate, however small the limit.
  double reserve = 0;
  // Whether this entry has run long enough to know the other entries and to be
  // known by them.
  bool settled = true;
  // The last time the set of this region's entries changed.
  time_point unchanged_since;
  // The share of the region's part that a backup grants. Less than the owner's,
  // since both grant permits while only some entries reach the owner.
  double backup_share = 0.7;
  // The part of an equal share of all entries that an entry grants which
  // reaches neither. Less than 1, since the other entries may still count it
  // when they compute theirs.
  double alone_share = 0.5;
  // Permits that such an entry may grant at once.
  double alone_reserve = 1;

  // Returns the largest share of the limit that an entry may grant in `role`,
  // from 0 to 1.
  double Of(permit_role role) const;
};

}  // namespace samphire

#endif  // ROUTING_PERMIT_SHARES_H_
