#ifndef MEMBERSHIP_REGION_VIEW_H_
#define MEMBERSHIP_REGION_VIEW_H_

#include "base/clock_source.h"
#include "membership/region_digest.h"

namespace samphire {

// The newest digest of another region, and its age by the clock of this entry.
struct region_view {
  region_digest digest;
  milliseconds age{0};
};

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_VIEW_H_
