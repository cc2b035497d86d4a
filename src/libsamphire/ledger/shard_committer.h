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

// Commits the operations on one shard in batches: the first thread that finds
// no batch under way leads the next one for all that wait.
class shard_committer {
 public:
  // Takes a reservation that must be released later, since its caller was
  // told "not run" although the platform may hold it.
  using orphan_sink = std::function<void(release_operation)>;

  shard_committer(shard_store store,
                  const ledger_options& options,
                  const clock_source& clock,
                  std::function<bool()> leads,
                  orphan_sink orphans);

  // Blocks until the operations are judged or their deadline has passed.
  std::vector<operation_outcome> Commit(std::vector<ledger_operation> wanted,
                                        time_point deadline);

 private:
  using queue_type =
      boost::intrusive::list<pending_operation,
                             boost::intrusive::constant_time_size<false>>;

  void LeadBatch(std::unique_lock<std::mutex>& guard);
  // Blocks until `own` is judged; false when its deadline passed first.
  bool Await(std::unique_lock<std::mutex>& guard, pending_operation& own);
  std::vector<pending_operation_ptr> TakeBatch();
  std::vector<release_operation> Finish(
      const std::vector<pending_operation_ptr>& members,
      std::vector<operation_outcome> outcomes,
      std::optional<std::uint64_t> uncertain_version);
  void Pace();
  operation_outcome Abandon(pending_operation& operation);
  operation_outcome Deliver(pending_operation& operation);

  const ledger_options& options_;
  const clock_source& clock_;
  const std::function<bool()> leads_;
  orphan_sink orphans_;
  std::mutex lock_;
  std::condition_variable changed_;
  queue_type queue_;
  bool leading_ = false;
  time_point last_batch_{};
  // Used by the leading thread only.
  shard_store store_;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_COMMITTER_H_
