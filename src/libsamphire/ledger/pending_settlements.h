#ifndef LEDGER_PENDING_SETTLEMENTS_H_
#define LEDGER_PENDING_SETTLEMENTS_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "base/clock_source.h"
#include "ledger/ledger_operation.h"

namespace samphire {

// Settlements that the platform couldn't take yet, each with its next try.
class pending_settlements {
 public:
  struct item {
    std::uint32_t shard = 0;
    ledger_operation operation;
    int tries = 0;
    time_point next_try{};
  };

  explicit pending_settlements(std::uint64_t seed) : random_(seed | 1) {}

  // Adds an operation that is to be tried at once.
  void Add(std::uint32_t shard, ledger_operation operation);
  // Puts back what failed again, to be tried after a longer pause.
  void PutBack(item failed, time_point now);
  // Removes and returns what is due.
  std::vector<item> TakeDue(time_point now);
  // What waits, including what is being tried.
  std::size_t size() const;
  void Forget(std::size_t count);

 private:
  duration NextPause(int tries);

  mutable std::mutex lock_;
  std::vector<item> items_;
  std::size_t taken_ = 0;
  std::uint64_t random_;
};

}  // namespace samphire

#endif  // LEDGER_PENDING_SETTLEMENTS_H_
