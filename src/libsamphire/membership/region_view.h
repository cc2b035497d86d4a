#ifndef MEMBERSHIP_REGION_VIEW_H_
#define MEMBERSHIP_REGION_VIEW_H_

#include "base/clock_source.h"
#include "membership/region_digest.h"

namespace samphire {

// What is known of another region, and how old that is.
struct region_view {
  region_digest digest;
  milliseconds age{0};
};

}  // namespace samphire

#endif  // MEMBERSHIP_REGION_VIEW_H_
