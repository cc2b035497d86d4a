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

// One group commit: applies several operations to one state of a shard and
// writes them in a single conditional update, retrying until the outcome is
// certain. Used once, by a single thread.
class shard_batch {
 public:
  // `deadline` ends the retries; the first attempt is always made.
  shard_batch(shard_store& store,
              const ledger_options& options,
              const clock_source& clock,
              std::vector<ledger_operation> operations,
              time_point deadline);

  // Runs the batch and returns the outcomes in the order of the operations. If
  // the batch fails, all of them are `refused`.
  std::vector<operation_outcome> Run();

  // The version that a write of unknown outcome would have replaced; nullopt if
  // no such write can take effect any more.
  std::optional<std::uint64_t> uncertain_version() const {
    return uncertain_version_;
  }

 private:
  // What to do after an attempt.
  enum class step { kDone, kRetry, kAbort };

  // Reads the shard if no state is cached, then evaluates.
  step Attempt();
  // Applies the operations to a copy of the cached state and writes it if
  // necessary.
  step Evaluate();
  // Writes `next` on condition that the cached version is current.
  step Write(ledger_shard next);
  // Decides whether a failure of the platform is worth another attempt.
  step HandleFailure(const error& failure);
  // Returns whether a write is needed to fence off a delayed one.
  bool NeedsFence(const ledger_operation& operation) const;
  // Sleeps before attempt number `attempt`, counted from 0.
  void BackOffBefore(int attempt);
  // One refusal for each operation, with the last failure.
  std::vector<operation_outcome> RefuseAll() const;

  shard_store& store_;
  const ledger_options& options_;
  const clock_source& clock_;
  const std::vector<ledger_operation> operations_;
  const time_point deadline_;
  std::vector<operation_outcome> outcomes_;
  std::optional<std::uint64_t> uncertain_version_;
  // Whether the cached state was read by this batch.
  bool read_by_this_batch_ = false;
  // The last failure of the platform.
  error failure_;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_BATCH_H_
