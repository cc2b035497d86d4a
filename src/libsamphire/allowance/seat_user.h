#ifndef ALLOWANCE_SEAT_USER_H_
#define ALLOWANCE_SEAT_USER_H_

#include <cstdint>
#include <vector>

#include "allowance/waiting_seat.h"

namespace samphire {

// Who uses the slots of an entry's seats.
class seat_user {
 public:
  virtual ~seat_user() = default;

  // From now on the slots of exactly these seats may be used. No new work may
  // start on, and no loan be given out of, a seat that is not among them.
  virtual void OnSeats(const std::vector<std::uint32_t>& usable) = 0;

  // Seats whose wait is not over as a whole. The slots of a service may be used
  // as soon as its own longest work, loans and drift have passed since then.
  virtual void OnWaitingSeats(const std::vector<waiting_seat>& /*waiting*/) {}

  // Whether nothing runs and no loan is out on the seat's slots any more, so
  // that another entry may use them at once. Asked of seats given up only.
  virtual bool IsIdle(std::uint32_t seat) = 0;
};

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_USER_H_
