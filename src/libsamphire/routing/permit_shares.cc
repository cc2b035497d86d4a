#include "routing/permit_shares.h"

#include <algorithm>

namespace samphire {

namespace {

double Fraction(std::size_t count, std::size_t whole) {
  return static_cast<double>(count) /
         static_cast<double>(std::max({count, whole, std::size_t{1}}));
}

}  // namespace

// Each region has a fixed share of a limit, independent of what its entries
// know of other regions. In a partitioned region, each side chooses an owner of
// its own, so the region's share is scaled by the fraction of entries on that
// side.
double permit_shares::Of(permit_role role) const {
  const double region_share =
      Fraction(1, regions) * Fraction(region_entries, region_peak);
  switch (role) {
    case permit_role::kOwner:
      return region_share;
    case permit_role::kBackup:
      return backup_share * region_share;
    case permit_role::kAlone:
      return alone_share * Fraction(1, fleet_peak);
  }
  return 0;
}

}  // namespace samphire
