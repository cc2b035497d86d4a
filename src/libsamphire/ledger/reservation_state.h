#ifndef LEDGER_RESERVATION_STATE_H_
#define LEDGER_RESERVATION_STATE_H_

#include <cstdint>

#include "base/enum_names.h"

namespace samphire {

enum class reservation_state : std::uint8_t {
  // The holder may dispatch, or has.
  kReserved,
  // It really did not run: another try may.
  kReleased,
  // It ran, and its answer is replayed to a repeat.
  kDone,
  // Whether it ran is not known: an operator settles it.
  kUnknown,
};

inline constexpr enum_names<reservation_state, 4> kReservationStateNames{{
    {reservation_state::kReserved, "reserved"},
    {reservation_state::kReleased, "released"},
    {reservation_state::kDone, "done"},
    {reservation_state::kUnknown, "unknown"},
}};

}  // namespace samphire

#endif  // LEDGER_RESERVATION_STATE_H_
