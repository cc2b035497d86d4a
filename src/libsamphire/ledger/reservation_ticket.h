#ifndef LEDGER_RESERVATION_TICKET_H_
#define LEDGER_RESERVATION_TICKET_H_

#include <string>

#include "base/clock_source.h"
#include "ledger/reservation_holder.h"
#include "ledger/reservation_nonce.h"

namespace samphire {

// The right to dispatch a reserved request, valid only before
// `dispatch_before`.
struct reservation_ticket {
  std::string service;
  std::string key;
  std::string request_digest;
  reservation_nonce nonce;
  reservation_holder holder;
  // Time of day from which other entries treat the unsettled reservation as in
  // doubt.
  wall_time in_doubt_after;
  // On the holder's monotonic clock.
  time_point dispatch_before;

  bool MayDispatch(time_point now) const { return now < dispatch_before; }
};

}  // namespace samphire

#endif  // LEDGER_RESERVATION_TICKET_H_
