#ifndef ENTRY_OPERATOR_RESERVATION_STATUS_H_
#define ENTRY_OPERATOR_RESERVATION_STATUS_H_

#include <string>

#include "base/clock_source.h"

namespace samphire {

// One reservation of the ledger as shown to operators.
struct reservation_status {
  std::string service;
  std::string key;
  // "reserved", "done", "released" or "unknown"; "unreadable-shard" for a
  // ledger shard that cannot be read, with the shard in `key`.
  std::string state;
  // The entry instance that made the reservation.
  std::string holder;
  // When the record last changed.
  wall_time reserved_at;
  // The operator who resolved the reservation, and the reason given; empty if
  // none did.
  std::string settled_by;
  std::string reason;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_RESERVATION_STATUS_H_
