#ifndef LEDGER_LEDGER_OPTIONS_H_
#define LEDGER_LEDGER_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>

#include "base/clock_source.h"
#include "ledger/reservation_holder.h"

namespace samphire {

// Configuration of a ledger and the identity of the process that uses it.
struct ledger_options {
  // The instance and incarnation of this process.
  reservation_holder self;
  // The number of shards to create if the platform has no ledger yet.
  // Afterwards the stored number takes precedence, since it decides which shard
  // holds a key.
  std::uint32_t shards = 8;
  // How long settled entries are kept, and so how long a repeat gets the
  // recorded response.
  milliseconds retention{3'600'000};
  // Time after the request's deadline before an unsettled reservation is in
  // doubt. Covers the clock difference between two instances plus the time that
  // a completion may take to be written.
  milliseconds in_doubt_margin{5000};
  // Maximum number of attempts at one batch, including the first, before its
  // operations are refused.
  int max_attempts = 6;
  // Maximum number of operations in one batch.
  std::size_t max_batch = 256;
  // Minimum time between the starts of two batches of the same shard.
  milliseconds batch_interval{20};
  // Maximum number of settlements waiting to be written to the platform. At
  // this number, new reservations are refused.
  std::size_t max_pending = 4096;
  // Returns whether a holder is known to have terminated. May be empty; may be
  // called from any thread that commits.
  std::function<bool(const reservation_holder&)> holder_failed;
  // Waits between attempts. If empty, the calling thread sleeps.
  std::function<void(duration)> sleep;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_OPTIONS_H_
