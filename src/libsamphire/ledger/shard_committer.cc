#include "ledger/shard_committer.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "ledger/shard_batch.h"

namespace samphire {

namespace {

// Maximum time that a waiting thread sleeps before it checks the clock again.
// Needed for simulated clocks, which tests advance without waking the thread.
constexpr milliseconds kMaxClockPollInterval{50};

// Returns the ticket of a reservation, or null for other operations.
const reservation_ticket* ReservationOf(const ledger_operation& operation) {
  const auto* reserve = std::get_if<reserve_operation>(&operation);
  return reserve == nullptr ? nullptr : &reserve->ticket;
}

}  // namespace

shard_committer::shard_committer(shard_store store,
                                 const ledger_options& options,
                                 const clock_source& clock,
                                 std::function<bool()> is_leader,
                                 orphan_handler orphans)
    : options_(options),
      clock_(clock),
      is_leader_(std::move(is_leader)),
      on_orphan_(std::move(orphans)),
      store_(std::move(store)) {}

std::vector<operation_outcome> shard_committer::Commit(
    std::vector<ledger_operation> operations,
    time_point deadline) {
  std::vector<pending_operation_ptr> own;
  own.reserve(operations.size());
  for (auto& operation : operations)
    own.emplace_back(new pending_operation(std::move(operation), deadline));
  std::vector<operation_outcome> outcomes;
  std::unique_lock guard(lock_);
  for (const auto& operation : own)
    queue_.push_back(*operation);
  for (const auto& operation : own) {
    const bool committed = WaitForOutcome(guard, *operation);
    outcomes.push_back(committed ? TakeOutcome(*operation)
                                 : Expire(*operation));
  }
  return outcomes;
}

bool shard_committer::WaitForOutcome(std::unique_lock<std::mutex>& guard,
                                     pending_operation& own) {
  while (!own.outcome) {
    if (own.is_linked() && !batch_running_) {
      RunBatch(guard);
      continue;
    }
    const auto remaining = own.deadline - clock_.now();
    if (remaining <= duration(0))
      return false;
    changed_.wait_for(guard,
                      std::min<duration>(remaining, kMaxClockPollInterval));
  }
  return true;
}

// Group commit, for loads with many concurrent reservations on one shard, where
// one write per reservation would exceed what the platform accepts. One thread
// at a time writes for all waiting threads, so the number of calls grows with
// the number of batches instead.
void shard_committer::RunBatch(std::unique_lock<std::mutex>& guard) {
  batch_running_ = true;
  guard.unlock();
  WaitForBatchInterval();
  guard.lock();
  const auto batch_members = TakeBatch();
  guard.unlock();
  std::vector<ledger_operation> operations;
  time_point latest{};
  for (const auto& member : batch_members) {
    operations.push_back(member->operation);
    latest = std::max(latest, member->deadline);
  }
  last_batch_start_ = clock_.now();
  shard_batch batch(store_, options_, clock_, std::move(operations), latest);
  auto outcomes = batch.Run();
  // If another entry leads the shard, the cached state is outdated by the next
  // batch. Reading first costs one call, whereas a conflict costs two, and
  // nothing has to be kept in memory.
  if (!is_leader_())
    store_.Invalidate();
  guard.lock();
  auto orphans = DistributeOutcomes(batch_members, std::move(outcomes),
                                    batch.uncertain_version());
  batch_running_ = false;
  changed_.notify_all();
  guard.unlock();
  for (auto& orphan : orphans)
    on_orphan_(std::move(orphan));
  guard.lock();
}

std::vector<pending_operation_ptr> shard_committer::TakeBatch() {
  std::vector<pending_operation_ptr> batch_members;
  while (!queue_.empty() && batch_members.size() < options_.max_batch) {
    batch_members.emplace_back(&queue_.front());
    queue_.pop_front();
  }
  return batch_members;
}

// A reservation whose caller was told "not run" has to be released if the
// platform holds it or may come to hold it. Otherwise it would block retries of
// the request until an operator settles it.
std::vector<release_operation> shard_committer::DistributeOutcomes(
    const std::vector<pending_operation_ptr>& batch_members,
    std::vector<operation_outcome> outcomes,
    std::optional<std::uint64_t> uncertain_version) {
  std::vector<release_operation> orphans;
  for (std::size_t i = 0; i < batch_members.size(); ++i) {
    auto& member = *batch_members[i];
    const auto* ticket = ReservationOf(member.operation);
    const bool is_reserved = std::holds_alternative<reserved>(outcomes[i]);
    const bool uncertain =
        uncertain_version && std::holds_alternative<refused>(outcomes[i]);
    // Only the holder may release a forwarded reservation: it may meanwhile
    // have committed it through the platform itself and be executing the
    // request.
    const bool own = ticket != nullptr && ticket->holder == options_.self;
    if (own && (uncertain || (is_reserved && member.expired)))
      orphans.push_back({*ticket, uncertain_version, false});
    member.outcome = std::move(outcomes[i]);
  }
  return orphans;
}

// A shard with occasional operations is written at once. A shard under constant
// load gets larger batches instead of more calls, so that the few hundred
// writes per second that the platform accepts suffice for all shards.
void shard_committer::WaitForBatchInterval() {
  const auto since = clock_.now() - last_batch_start_;
  const duration wait = options_.batch_interval - since;
  if (last_batch_start_ == time_point{} || wait <= duration(0))
    return;
  if (options_.sleep)
    options_.sleep(wait);
  else
    std::this_thread::sleep_for(wait);
}

// The caller is told "not run", which must remain true: either the operation
// leaves the queue here, or the batch that already contains it releases the
// reservation when it ends.
operation_outcome shard_committer::Expire(pending_operation& operation) {
  operation.expired = true;
  operation.unlink();
  return refused{result_code::kLedgerUnavailable,
                 "no outcome from the ledger before the deadline"};
}

operation_outcome shard_committer::TakeOutcome(pending_operation& operation) {
  const auto* ticket = ReservationOf(operation.operation);
  const bool late = ticket != nullptr && !ticket->MayDispatch(clock_.now()) &&
                    std::holds_alternative<reserved>(*operation.outcome);
  if (!late)
    return std::move(*operation.outcome);
  on_orphan_({*ticket, std::nullopt, false});
  return refused{result_code::kLedgerUnavailable,
                 "reservation committed after its dispatch deadline"};
}

}  // namespace samphire
