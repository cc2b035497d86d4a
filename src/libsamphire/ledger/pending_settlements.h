#ifndef LEDGER_PENDING_SETTLEMENTS_H_
#define LEDGER_PENDING_SETTLEMENTS_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "base/clock_source.h"
#include "ledger/ledger_operation.h"

namespace samphire {

// Settlements that could not be written to the platform yet, each with the time
// of its next attempt. Kept in memory only. Safe to use from several threads.
class pending_settlements {
 public:
  // `attempts` counts failed retries.
  struct item {
    std::uint32_t shard = 0;
    ledger_operation operation;
    int attempts = 0;
    time_point next_attempt{};
  };

  // `seed` seeds the jitter of the backoff.
  explicit pending_settlements(std::uint64_t seed) : random_(seed | 1) {}

  // Adds a settlement that is due at once.
  void Add(std::uint32_t shard, ledger_operation operation);
  // Puts back an item from TakeDue whose retry failed, due after a longer
  // backoff than before.
  void Reschedule(item failed, time_point now);
  // Removes and returns the items due at `now`. Each must be returned to
  // Reschedule or counted in MarkSettled.
  std::vector<item> TakeDue(time_point now);
  // The number of settlements not written yet, including those taken for a
  // retry.
  std::size_t size() const;
  // Reports that `count` items taken by TakeDue have been written.
  void MarkSettled(std::size_t count);

 private:
  // Returns the jittered backoff after the given number of failed retries.
  // Requires lock_.
  duration NextBackoff(int attempts);

  mutable std::mutex lock_;
  std::vector<item> items_;
  // The number of items returned by TakeDue and not yet accounted for.
  std::size_t taken_count_ = 0;
  // State of a linear congruential generator.
  std::uint64_t random_;
};

}  // namespace samphire

#endif  // LEDGER_PENDING_SETTLEMENTS_H_
