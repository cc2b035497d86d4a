#include "ledger/shard_committer.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "ledger/shard_batch.h"

namespace samphire {

namespace {

// How long a waiting thread sleeps at most before it looks at the clock, so
// that a clock which a test moves is seen.
constexpr milliseconds kLongestWait{50};

const reservation_ticket* ReservationOf(const ledger_operation& operation) {
  const auto* reserve = std::get_if<reserve_operation>(&operation);
  return reserve == nullptr ? nullptr : &reserve->ticket;
}

}  // namespace

shard_committer::shard_committer(shard_store store,
                                 const ledger_options& options,
                                 const clock_source& clock,
                                 std::function<bool()> leads,
                                 orphan_sink orphans)
    : options_(options),
      clock_(clock),
      leads_(std::move(leads)),
      orphans_(std::move(orphans)),
      store_(std::move(store)) {}

std::vector<operation_outcome> shard_committer::Commit(
    std::vector<ledger_operation> wanted,
    time_point deadline) {
  std::vector<pending_operation_ptr> own;
  own.reserve(wanted.size());
  for (auto& operation : wanted)
    own.emplace_back(new pending_operation(std::move(operation), deadline));
  std::vector<operation_outcome> outcomes;
  std::unique_lock guard(lock_);
  for (const auto& operation : own)
    queue_.push_back(*operation);
  for (const auto& operation : own) {
    const bool judged = Await(guard, *operation);
    outcomes.push_back(judged ? Deliver(*operation) : Abandon(*operation));
  }
  return outcomes;
}

bool shard_committer::Await(std::unique_lock<std::mutex>& guard,
                            pending_operation& own) {
  while (!own.outcome) {
    if (own.is_linked() && !leading_) {
      LeadBatch(guard);
      continue;
    }
    const auto left = own.deadline - clock_.now();
    if (left <= duration(0))
      return false;
    changed_.wait_for(guard, std::min<duration>(left, kLongestWait));
  }
  return true;
}

// Group commit. The load it is made for: many reservations at once on one
// shard, where a write for each would pass what the platform takes. One
// thread at a time writes for all that wait, so calls grow with batches.
void shard_committer::LeadBatch(std::unique_lock<std::mutex>& guard) {
  leading_ = true;
  guard.unlock();
  Pace();
  guard.lock();
  const auto members = TakeBatch();
  guard.unlock();
  std::vector<ledger_operation> operations;
  time_point latest{};
  for (const auto& member : members) {
    operations.push_back(member->operation);
    latest = std::max(latest, member->deadline);
  }
  last_batch_ = clock_.now();
  shard_batch batch(store_, options_, clock_, std::move(operations), latest);
  auto outcomes = batch.Run();
  // Where another entry commits, the state is stale by the next batch: reading
  // first costs one call where a conflict costs two, and holds no memory.
  if (!leads_())
    store_.Forget();
  guard.lock();
  auto orphans =
      Finish(members, std::move(outcomes), batch.uncertain_version());
  leading_ = false;
  changed_.notify_all();
  guard.unlock();
  for (auto& orphan : orphans)
    orphans_(std::move(orphan));
  guard.lock();
}

std::vector<pending_operation_ptr> shard_committer::TakeBatch() {
  std::vector<pending_operation_ptr> members;
  while (!queue_.empty() && members.size() < options_.max_batch) {
    members.emplace_back(&queue_.front());
    queue_.pop_front();
  }
  return members;
}

// Hands out the outcomes. A reservation whose caller was told "not run" while
// the platform holds it, or may yet come to hold it, is to be released: left
// alone it would turn a retry away until an operator settles it.
std::vector<release_operation> shard_committer::Finish(
    const std::vector<pending_operation_ptr>& members,
    std::vector<operation_outcome> outcomes,
    std::optional<std::uint64_t> uncertain_version) {
  std::vector<release_operation> orphans;
  for (std::size_t i = 0; i < members.size(); ++i) {
    auto& member = *members[i];
    const auto* ticket = ReservationOf(member.operation);
    const bool held = std::holds_alternative<reserved>(outcomes[i]);
    const bool uncertain =
        uncertain_version && std::holds_alternative<refused>(outcomes[i]);
    // What was forwarded is the holder's to release: it may have gone to the
    // platform itself meanwhile, and be running.
    const bool own = ticket != nullptr && ticket->holder == options_.self;
    if (own && (uncertain || (held && member.abandoned)))
      orphans.push_back({*ticket, uncertain_version, false});
    member.outcome = std::move(outcomes[i]);
  }
  return orphans;
}

// Batches of one shard start no closer than the interval. A shard that is
// asked once is written at once; one that is asked all the time makes larger
// batches instead of more calls, so that the platform's few hundred writes a
// second suffice for all shards.
void shard_committer::Pace() {
  const auto since = clock_.now() - last_batch_;
  const duration wait = options_.batch_interval - since;
  if (last_batch_ == time_point{} || wait <= duration(0))
    return;
  if (options_.sleep)
    options_.sleep(wait);
  else
    std::this_thread::sleep_for(wait);
}

// The caller is told "not run", which must stay true: the operation leaves
// the queue, or the batch that has it releases it when it comes back.
operation_outcome shard_committer::Abandon(pending_operation& operation) {
  operation.abandoned = true;
  operation.unlink();
  return refused{result_code::kLedgerUnavailable, "no answer in time"};
}

operation_outcome shard_committer::Deliver(pending_operation& operation) {
  const auto* ticket = ReservationOf(operation.operation);
  const bool late = ticket != nullptr && !ticket->MayDispatch(clock_.now()) &&
                    std::holds_alternative<reserved>(*operation.outcome);
  if (!late)
    return std::move(*operation.outcome);
  orphans_({*ticket, std::nullopt, false});
  return refused{result_code::kLedgerUnavailable, "reserved too late"};
}

}  // namespace samphire
