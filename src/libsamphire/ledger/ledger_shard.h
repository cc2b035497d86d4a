#ifndef LEDGER_LEDGER_SHARD_H_
#define LEDGER_LEDGER_SHARD_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/clock_source.h"
#include "ledger/ledger_entry.h"
#include "ledger/ledger_operation.h"

namespace samphire {

// What a judgement depends on besides the shard and the operation.
struct judge_context {
  wall_time now;
  milliseconds retention{0};
  // Who judges: an older process of the same instance is gone.
  reservation_holder self;
  // Whether a holder is known to be gone; may be empty.
  std::function<bool(const reservation_holder&)> holder_gone;
};

// The reservations of one shard, and the pure judgement on them.
class ledger_shard {
 public:
  struct judgement {
    operation_outcome outcome;
    // Whether the shard has to be written for the outcome to hold.
    bool changed = false;
    // Whether a later state of the shard can't alter the outcome.
    bool final_outcome = false;
  };
  using entry_map =
      std::map<std::pair<std::string, std::string>, ledger_entry, std::less<>>;

  judgement Apply(const ledger_operation& operation,
                  const judge_context& context);

  // Drops settled entries that are older than the retention.
  void Compact(const judge_context& context);

  void Insert(ledger_entry entry);
  const ledger_entry* Find(const std::string& service,
                           const std::string& key) const;
  const entry_map& entries() const { return entries_; }
  // About the size of the encoded shard, never less.
  std::size_t bytes() const { return bytes_; }

 private:
  friend class shard_judge;

  void Erase(entry_map::iterator entry);
  bool MakeRoom(std::size_t bytes);

  entry_map entries_;
  std::size_t bytes_ = 0;
};

// Whether an operator has to settle `entry`.
bool IsInDoubt(const ledger_entry& entry, const judge_context& context);

}  // namespace samphire

#endif  // LEDGER_LEDGER_SHARD_H_
