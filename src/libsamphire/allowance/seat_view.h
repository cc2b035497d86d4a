#ifndef ALLOWANCE_SEAT_VIEW_H_
#define ALLOWANCE_SEAT_VIEW_H_

#include <cstdint>
#include <map>

#include "allowance/seat_record.h"

namespace samphire {

// A seat as the platform showed it; version 0: it was never written.
struct seat_view {
  std::uint64_t version = 0;
  seat_record record;
};

// By number.
using seat_views = std::map<std::uint32_t, seat_view>;

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_VIEW_H_
