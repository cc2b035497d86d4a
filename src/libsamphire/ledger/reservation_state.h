#ifndef LEDGER_RESERVATION_STATE_H_
#define LEDGER_RESERVATION_STATE_H_

#include <cstdint>

#include "base/enum_names.h"

namespace samphire {

// State of a stored reservation. The values are part of the stored format.
enum class reservation_state : std::uint8_t {
  // The holder may dispatch the request or has dispatched it.
  kReserved,
  // The request was certainly not executed; it may be reserved again.
  kReleased,
  // The request was executed; repeats get the recorded response.
  kDone,
  // It is unknown whether the request was executed; an operator settles it.
  kUnknown,
};

// Names in the operator API and logs.
inline constexpr enum_names<reservation_state, 4> kReservationStateNames{{
    {reservation_state::kReserved, "reserved"},
    {reservation_state::kReleased, "released"},
    {reservation_state::kDone, "done"},
    {reservation_state::kUnknown, "unknown"},
}};

}  // namespace samphire

#endif  // LEDGER_RESERVATION_STATE_H_
