#ifndef LEDGER_SHARD_BATCH_H_
#define LEDGER_SHARD_BATCH_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock_source.h"
#include "base/result.h"
#include "ledger/ledger_operation.h"
#include "ledger/ledger_options.h"
#include "ledger/ledger_shard.h"
#include "ledger/shard_store.h"

namespace samphire {

// One group commit: judges several operations on one state of a shard and
// writes them in one conditional update, trying anew until that is certain.
class shard_batch {
 public:
  shard_batch(shard_store& store,
              const ledger_options& options,
              const clock_source& clock,
              std::vector<ledger_operation> operations,
              time_point deadline);

  // The outcomes, in the order of the operations.
  std::vector<operation_outcome> Run();

  // Set when a write's outcome stayed unknown: the version it would replace.
  std::optional<std::uint64_t> uncertain_version() const {
    return uncertain_version_;
  }

 private:
  enum class step { kDone, kAgain, kGiveUp };

  step Try();
  step Judge();
  step Write(ledger_shard next);
  step Fail(const error& failure);
  bool NeedsFence(const ledger_operation& operation) const;
  void PauseBefore(int attempt);
  std::vector<operation_outcome> Refusals() const;

  shard_store& store_;
  const ledger_options& options_;
  const clock_source& clock_;
  const std::vector<ledger_operation> operations_;
  const time_point deadline_;
  std::vector<operation_outcome> outcomes_;
  std::optional<std::uint64_t> uncertain_version_;
  // Whether the known state was read by this batch.
  bool fresh_ = false;
  error failure_;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_BATCH_H_
