#ifndef DECISION_SHIFT_STATUS_H_
#define DECISION_SHIFT_STATUS_H_

#include <cstdint>
#include <string>

namespace samphire {

// Requests of callers from one other region that run at this entry, and this
// entry's current share of the shift cap. The limit is also 0 for a region
// without a cap, whose requests the dispatcher does not limit.
struct shift_status {
  std::string home_region;
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
};

}  // namespace samphire

#endif  // DECISION_SHIFT_STATUS_H_
