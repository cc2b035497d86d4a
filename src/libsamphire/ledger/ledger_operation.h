#ifndef LEDGER_LEDGER_OPERATION_H_
#define LEDGER_LEDGER_OPERATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "ledger/recorded_response.h"
#include "ledger/reservation_outcome.h"
#include "ledger/reservation_ticket.h"
#include "ledger/resolution.h"
#include "ledger/settle_effect.h"

namespace samphire {

// Reserves the ticket's key for its holder.
struct reserve_operation {
  reservation_ticket ticket;
};

// Records the target's response to a reserved request.
struct complete_operation {
  reservation_ticket ticket;
  recorded_response response;
};

// Records that a reserved request was not executed.
struct release_operation {
  reservation_ticket ticket;
  // The shard version that a write of unknown outcome was conditional on. While
  // the shard still has that version, the write may yet take effect.
  std::optional<std::uint64_t> fence_version;
  // Set if the reservation was also forwarded and the leader may commit it
  // later: a released entry with the same nonce is left behind, which refuses
  // it.
  bool leave_tombstone = false;
};

// Records that a reserved request may have been executed.
struct mark_unknown_operation {
  reservation_ticket ticket;
};

// Records an operator's decision on a reservation in doubt.
struct resolve_operation {
  std::string service;
  std::string key;
  resolution as = resolution::kDone;
  std::string operator_name;
  std::string reason;
};

// One change requested of a shard.
using ledger_operation = std::variant<reserve_operation,
                                      complete_operation,
                                      release_operation,
                                      mark_unknown_operation,
                                      resolve_operation>;

// The outcome of an operation: that of a reservation, or of settling one.
using operation_outcome = std::
    variant<reserved, replay, in_progress, in_doubt, refused, settle_effect>;

}  // namespace samphire

#endif  // LEDGER_LEDGER_OPERATION_H_
