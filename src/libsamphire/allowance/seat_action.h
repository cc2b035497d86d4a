#ifndef ALLOWANCE_SEAT_ACTION_H_
#define ALLOWANCE_SEAT_ACTION_H_

#include <cstdint>
#include <variant>

#include "allowance/seat_record.h"
#include "base/clock_source.h"

namespace samphire {

// Read all seats of the region.
struct list_seats {};
// Read the platform's instance list.
struct list_instances {};
// Write `record` where the seat has the version `expected`: a claim if it
// names a holder, else a release.
struct write_seat {
  std::uint32_t number = 0;
  std::uint64_t expected = 0;
  seat_record record;
};
struct wait_for_seats {
  time_point until;
};

using seat_action =
    std::variant<list_seats, list_instances, write_seat, wait_for_seats>;

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_ACTION_H_
