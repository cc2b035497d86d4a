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

// Ensures that a request which must not be repeated (one with an idempotency
// key) is executed at most once, whichever entry it arrives at. Reservations
// are stored in shards of the platform's object store and changed by
// conditional writes only. Safe to use from several threads; calls that reach
// the platform block.
class ledger {
 public:
  // `router` names the leader of each shard. Without a `forwarder` every
  // operation is committed by this process itself. All references and
  // `forwarder` must outlive the ledger.
  ledger(object_store& store,
         const shard_router& router,
         const clock_source& clock,
         metrics& registry,
         ledger_options options,
         operation_forwarder* forwarder = nullptr);

  // Reserves the right to execute a request. Only the outcome `reserved` allows
  // the request to be dispatched, only by this process and only before the
  // ticket's `dispatch_before`. Waits for other threads' batches until the
  // deadline at most, but doesn't interrupt a call to the platform.
  reservation_outcome Reserve(const reservation_request& request);

  // Records that the request was executed and what the target responded. A
  // recorded settlement survives this process; a pending one is retried by
  // RetryPending.
  settle_effect Complete(const reservation_ticket& ticket,
                         recorded_response response);
  // Records that the request was certainly not executed and won't be, which
  // frees the key.
  settle_effect Release(const reservation_ticket& ticket);
  // Records that the request may have been executed, which leaves it to an
  // operator.
  settle_effect MarkUnknown(const reservation_ticket& ticket);

  // Operator calls. They read the platform rather than the state that this
  // process has cached.
  // Returns the entry of a key, kUnknownLedgerKey, or the failure of the
  // platform.
  result<ledger_record> Show(const std::string& service,
                             const std::string& key);
  // Returns all reservations in doubt and the shards that can't be decoded, or
  // the failure of the platform.
  result<unresolved_report> Unresolved();
  // Settles a reservation in doubt. Both `operator_name` and `reason` are
  // required. Returns kValueOutOfRange, kUnknownLedgerKey, kLedgerKeySettled if
  // the reservation is not in doubt, or the failure of the platform.
  result<void> Resolve(const std::string& service,
                       const std::string& key,
                       resolution as,
                       const std::string& operator_name,
                       const std::string& reason);

  // Retries pending settlements whose backoff has passed. Called periodically
  // by ledger_retry_thread.
  void RetryPending();

  // For forward_server, which commits on behalf of other entries.
  // Returns the shard of a key, or nullopt while the number of shards is
  // unknown.
  std::optional<std::uint32_t> ShardFor(const std::string& service,
                                        const std::string& key);
  // Commits operations of one shard and returns their outcomes in the same
  // order. `shard` must come from ShardFor.
  std::vector<operation_outcome> CommitFor(
      std::uint32_t shard,
      std::vector<ledger_operation> operations,
      time_point deadline);
  // The number of settlements that only this process knows of.
  std::size_t pending() const { return pending_.size(); }
  // The number of shards, or 0 while it is not known yet.
  std::uint32_t shards() const { return shard_count_; }

 private:
  // Reads or creates the layout on first use, then creates the committers.
  result<void> EnsureShardsOpen();
  // Creates one committer per shard. Requires open_lock_.
  void OpenShards(std::uint32_t count);
  shard_committer& CommitterOf(const std::string& service,
                               const std::string& key);
  // Creates a ticket with a new nonce.
  reservation_ticket MakeTicket(const reservation_request& request);
  // Commits one operation by way of the leader or directly.
  operation_outcome Commit(const reservation_ticket& ticket,
                           const ledger_operation& operation,
                           time_point deadline);
  // Implements Reserve except for the metric.
  reservation_outcome ReserveUncounted(const reservation_request& request);
  // Commits a settlement, or queues it for retries if that fails.
  settle_effect Settle(const reservation_ticket& ticket,
                       ledger_operation operation);
  // Retries the given settlements of one shard in one call.
  void RetryShard(std::uint32_t shard,
                  std::vector<pending_settlements::item> items);
  // The current time, retention and identity, for deciding what is in doubt.
  apply_context Context() const;
  void CountOutcome(const reservation_outcome& outcome);

  object_store& store_;
  const shard_router& router_;
  const clock_source& clock_;
  metrics& metrics_;
  const ledger_options options_;
  operation_forwarder* const forwarder_;
  // Random; the process part of each nonce.
  const std::uint64_t process_nonce_;
  // The counting part of each nonce.
  std::atomic<std::uint64_t> reservation_count_{0};
  pending_settlements pending_;
  // Serializes OpenShards. committers_ doesn't change once shard_count_ is not
  // 0, so later readers need no lock.
  std::mutex open_lock_;
  std::atomic<std::uint32_t> shard_count_{0};
  std::vector<std::unique_ptr<shard_committer>> committers_;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_H_
