#ifndef LEDGER_SHARD_COMMITTER_H_
#define LEDGER_SHARD_COMMITTER_H_

#include <boost/intrusive/list.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "ledger/ledger_operation.h"
#include "ledger/ledger_options.h"
#include "ledger/pending_operation.h"
#include "ledger/shard_store.h"

namespace samphire {

// Commits the operations on one shard in batches (group commit): the first
// thread that finds no batch running runs the next one for all waiting threads.
// Safe to use from several threads.
class shard_committer {
 public:
  // Takes over a reservation that must be released later, because its caller
  // was told "not run" although the platform may hold it. Called without the
  // committer's lock from RunBatch, and with it from Commit.
  using orphan_handler = std::function<void(release_operation)>;

  // `is_leader` returns whether this process leads the shard. `options` and
  // `clock` must outlive the committer.
  shard_committer(shard_store store,
                  const ledger_options& options,
                  const clock_source& clock,
                  std::function<bool()> is_leader,
                  orphan_handler orphans);

  // Blocks until the operations are committed or refused, or `deadline` has
  // passed. A thread that runs a batch stays until the batch ends. Returns the
  // outcomes in the order of the operations.
  std::vector<operation_outcome> Commit(
      std::vector<ledger_operation> operations,
      time_point deadline);

 private:
  using queue_type =
      boost::intrusive::list<pending_operation,
                             boost::intrusive::constant_time_size<false>>;

  // Runs one batch on the calling thread. Releases the lock meanwhile.
  void RunBatch(std::unique_lock<std::mutex>& guard);
  // Blocks until `own` has an outcome, running batches if necessary. Returns
  // false if its deadline passed first.
  bool WaitForOutcome(std::unique_lock<std::mutex>& guard,
                      pending_operation& own);
  // Removes the members of the next batch from the queue.
  std::vector<pending_operation_ptr> TakeBatch();
  // Sets the outcomes of a batch and returns the reservations to be released.
  std::vector<release_operation> DistributeOutcomes(
      const std::vector<pending_operation_ptr>& batch_members,
      std::vector<operation_outcome> outcomes,
      std::optional<std::uint64_t> uncertain_version);
  // Sleeps until the batch interval since the last batch has passed.
  void WaitForBatchInterval();
  // Ends the wait for an operation whose deadline has passed.
  operation_outcome Expire(pending_operation& operation);
  // Returns the outcome of an operation, refusing a reservation that came too
  // late to be dispatched.
  operation_outcome TakeOutcome(pending_operation& operation);

  const ledger_options& options_;
  const clock_source& clock_;
  const std::function<bool()> is_leader_;
  orphan_handler on_orphan_;
  // Guards queue_, batch_running_ and the queued operations.
  std::mutex lock_;
  std::condition_variable changed_;
  queue_type queue_;
  bool batch_running_ = false;
  // Used by the thread that runs a batch only.
  time_point last_batch_start_{};
  // Used only by the thread that runs a batch.
  shard_store store_;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_COMMITTER_H_
