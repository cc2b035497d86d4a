#ifndef ALLOWANCE_WAITING_SEAT_H_
#define ALLOWANCE_WAITING_SEAT_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// A seat taken over from a process that may still have work running.
struct waiting_seat {
  std::uint32_t number = 0;
  // When the claim was known to be written: the predecessor was dead by then.
  time_point since;

  bool operator==(const waiting_seat&) const = default;
};

}  // namespace samphire

#endif  // ALLOWANCE_WAITING_SEAT_H_
