#ifndef LEDGER_LEDGER_OPTIONS_H_
#define LEDGER_LEDGER_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>

#include "base/clock_source.h"
#include "ledger/reservation_holder.h"

namespace samphire {

// How a ledger behaves and who it acts for.
struct ledger_options {
  reservation_holder self;
  // Used when the platform holds no ledger yet; afterwards the number that
  // the platform holds counts, since keys are spread by it.
  std::uint32_t shards = 8;
  milliseconds retention{3'600'000};
  // By how much the clocks of two instances may differ, plus the time that a
  // completion may take to be written.
  milliseconds doubt_margin{5000};
  // Tries of one batch before it is given up.
  int max_attempts = 6;
  std::size_t max_batch = 256;
  // The shortest time between the starts of two batches of one shard.
  milliseconds batch_interval{20};
  // Settlements that may wait for the platform before no more is reserved.
  std::size_t max_pending = 4096;
  // Whether a holder is known to be gone; may be empty.
  std::function<bool(const reservation_holder&)> holder_gone;
  // Waits between tries; by default the thread sleeps.
  std::function<void(duration)> sleep;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_OPTIONS_H_
