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

// What the outcome of an operation depends on besides the shard and the
// operation itself.
struct apply_context {
  // Time of day on this instance's clock.
  wall_time now;
  // How long settled entries are kept.
  milliseconds retention{0};
  // The process that applies the operation. An earlier incarnation of the same
  // instance is known to have terminated.
  reservation_holder self;
  // Returns whether a holder is known to have terminated. May be empty.
  std::function<bool(const reservation_holder&)> holder_failed;
};

// The reservations of one shard, and the rules for changing them. A plain value
// without I/O; not synchronized.
class ledger_shard {
 public:
  // The result of applying one operation.
  struct apply_result {
    operation_outcome outcome;
    // Whether the shard has to be written before the outcome holds.
    bool changed = false;
    // Whether no later state of the shard can alter the outcome.
    bool final_outcome = false;
  };
  // Keyed by (service, idempotency key).
  using entry_map =
      std::map<std::pair<std::string, std::string>, ledger_entry, std::less<>>;

  // Applies one operation and returns its outcome. Never fails: an operation
  // that is not allowed yields `refused`.
  apply_result Apply(const ledger_operation& operation,
                     const apply_context& context);

  // Drops settled entries that are older than the retention.
  void Compact(const apply_context& context);

  // Adds an entry. The shard must not contain its key.
  void Insert(ledger_entry entry);
  // Returns the entry of a key, or null. The pointer is valid until the shard
  // changes.
  const ledger_entry* Find(const std::string& service,
                           const std::string& key) const;
  const entry_map& entries() const { return entries_; }
  // Estimate of the encoded size in bytes, excluding the frame; never too low.
  std::size_t bytes() const { return bytes_; }

 private:
  friend class operation_applier;

  void Erase(entry_map::iterator entry);
  // Returns whether `bytes` more fit the size limit, dropping released entries
  // if necessary.
  bool EnsureSpace(std::size_t bytes);

  entry_map entries_;
  std::size_t bytes_ = 0;
};

// Returns whether it is unknown if the entry's request was executed, so that an
// operator has to settle it.
bool IsInDoubt(const ledger_entry& entry, const apply_context& context);

}  // namespace samphire

#endif  // LEDGER_LEDGER_SHARD_H_
