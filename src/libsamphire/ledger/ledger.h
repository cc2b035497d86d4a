#ifndef LEDGER_LEDGER_H_
#define LEDGER_LEDGER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/result.h"
#include "ledger/ledger_operation.h"
#include "ledger/ledger_options.h"
#include "ledger/ledger_record.h"
#include "ledger/operation_forwarder.h"
#include "ledger/pending_settlements.h"
#include "ledger/reservation_outcome.h"
#include "ledger/reservation_request.h"
#include "ledger/shard_committer.h"
#include "ledger/shard_router.h"
#include "ledger/unresolved_report.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Makes requests that may not be repeated run at most once, whichever entry
// they arrive at. Safe to use from several threads; calls block.
class ledger {
 public:
  ledger(object_store& store,
         const shard_router& router,
         const clock_source& clock,
         metrics& registry,
         ledger_options options,
         operation_forwarder* forwarder = nullptr);

  // Only `reserved` allows the request to be dispatched, by this process and
  // before the ticket's `dispatch_before`.
  reservation_outcome Reserve(const reservation_request& request);

  // The request ran and was answered. A recorded settlement survives this
  // process; a pending one is tried again by RetryPending.
  settle_effect Complete(const reservation_ticket& ticket,
                         recorded_answer answer);
  // The request really did not run and won't.
  settle_effect Release(const reservation_ticket& ticket);
  // The request may have run.
  settle_effect MarkUnknown(const reservation_ticket& ticket);

  // For operators; these read the platform, not what this process remembers.
  result<ledger_record> Show(const std::string& service,
                             const std::string& key);
  result<unresolved_report> Unresolved();
  result<void> Resolve(const std::string& service,
                       const std::string& key,
                       resolution as,
                       const std::string& operator_name,
                       const std::string& reason);

  // Tries again what is due and couldn't be written; called every now and then.
  void RetryPending();

  // For those who lead a shard on behalf of others.
  std::optional<std::uint32_t> ShardFor(const std::string& service,
                                        const std::string& key);
  std::vector<operation_outcome> CommitFor(
      std::uint32_t shard,
      std::vector<ledger_operation> operations,
      time_point deadline);
  // Settlements that only this process knows of.
  std::size_t pending() const { return pending_.size(); }
  // The number of shards, or 0 when it isn't known yet.
  std::uint32_t shards() const { return shard_count_; }

 private:
  result<void> Prepare();
  void OpenShards(std::uint32_t count);
  shard_committer& CommitterOf(const std::string& service,
                               const std::string& key);
  reservation_ticket TicketFor(const reservation_request& request);
  operation_outcome Commit(const reservation_ticket& ticket,
                           const ledger_operation& operation,
                           time_point deadline);
  reservation_outcome Ask(const reservation_request& request);
  settle_effect Settle(const reservation_ticket& ticket,
                       ledger_operation operation);
  void RetryShard(std::uint32_t shard,
                  std::vector<pending_settlements::item> items);
  judge_context Context() const;
  void CountOutcome(const reservation_outcome& outcome);

  object_store& store_;
  const shard_router& router_;
  const clock_source& clock_;
  metrics& metrics_;
  const ledger_options options_;
  operation_forwarder* const forwarder_;
  const std::uint64_t process_number_;
  std::atomic<std::uint64_t> reservations_{0};
  pending_settlements pending_;
  std::mutex prepare_lock_;
  std::atomic<std::uint32_t> shard_count_{0};
  std::vector<std::unique_ptr<shard_committer>> committers_;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_H_
