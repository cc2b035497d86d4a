#include "ledger/ledger.h"

#include <fmt/format.h>

#include <map>
#include <random>
#include <utility>

#include "base/log.h"
#include "ledger/ledger_layout.h"

namespace samphire {

namespace {

// How long a thread that has an answer for its caller waits for the platform
// to record it, before the answer is given and the record is left to retries.
constexpr milliseconds kSettleTimeout{1000};

struct outcome_name {
  const char* operator()(const reserved&) const { return "reserved"; }
  const char* operator()(const replay&) const { return "replay"; }
  const char* operator()(const in_progress&) const { return "in-progress"; }
  const char* operator()(const in_doubt&) const { return "in-doubt"; }
  const char* operator()(const refused&) const { return "refused"; }
};

struct to_reservation_outcome {
  reservation_outcome operator()(settle_effect) const {
    return refused{result_code::kLedgerUnavailable, "not a reservation"};
  }
  template <typename T>
  reservation_outcome operator()(T outcome) const {
    return outcome;
  }
};

std::uint64_t RandomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

bool IsSound(const reservation_request& request) {
  return !request.key.empty() && request.key.size() <= kMaxIdempotencyKey &&
         request.service.size() <= kMaxServiceName &&
         request.request_digest.size() <= kMaxRequestDigest;
}

}  // namespace

ledger::ledger(object_store& store,
               const shard_router& router,
               const clock_source& clock,
               metrics& registry,
               ledger_options options,
               operation_forwarder* forwarder)
    : store_(store),
      router_(router),
      clock_(clock),
      metrics_(registry),
      options_(std::move(options)),
      forwarder_(forwarder),
      process_number_(RandomNumber()),
      pending_(process_number_) {}

reservation_outcome ledger::Reserve(const reservation_request& request) {
  auto outcome = Ask(request);
  CountOutcome(outcome);
  return outcome;
}

reservation_outcome ledger::Ask(const reservation_request& request) {
  if (!IsSound(request))
    return refused{result_code::kBadIdempotencyKey, {}};
  if (clock_.now() >= request.deadline)
    return refused{result_code::kDeadlineUnreachable, {}};
  // Each settlement that only this process knows of is lost into doubt if the
  // process dies. The bound keeps what operators would have to settle small.
  if (pending_.size() >= options_.max_pending)
    return refused{result_code::kLedgerUnavailable, "too much unrecorded"};
  const auto prepared = Prepare();
  if (!prepared) {
    const auto code = prepared.error().code == result_code::kStoreCorrupt
                          ? result_code::kStoreCorrupt
                          : result_code::kLedgerUnavailable;
    return refused{code, prepared.error().detail};
  }
  const auto ticket = TicketFor(request);
  return std::visit(
      to_reservation_outcome{},
      Commit(ticket, reserve_operation{ticket}, request.deadline));
}

// By way of the leader, if there is another and it answers; otherwise in
// person, with the same nonce, so that it doesn't matter whether the leader
// did commit. Ten entries that all write to one shard would meet in conflicts
// at every batch; one that writes for all makes as many calls as if alone.
operation_outcome ledger::Commit(const reservation_ticket& ticket,
                                 const ledger_operation& operation,
                                 time_point deadline) {
  const auto shard = ShardOf(ticket.service, ticket.key, shard_count_);
  const auto leader =
      forwarder_ == nullptr ? std::string() : router_.LeaderOf(shard);
  if (!leader.empty()) {
    auto outcome = forwarder_->Forward(leader, operation, deadline);
    const bool held = outcome && std::holds_alternative<reserved>(*outcome);
    if (outcome && (!held || ticket.MayDispatch(clock_.now())))
      return std::move(*outcome);
  }
  auto outcomes = committers_[shard]->Commit({operation}, deadline);
  // The caller is told "not run", and the leader may yet commit what it was
  // asked: then nobody would hold the reservation.
  if (!leader.empty() && std::holds_alternative<refused>(outcomes.front()) &&
      std::holds_alternative<reserve_operation>(operation)) {
    pending_.Add(shard, release_operation{ticket, std::nullopt, true});
  }
  return std::move(outcomes.front());
}

std::optional<std::uint32_t> ledger::ShardFor(const std::string& service,
                                              const std::string& key) {
  if (!Prepare())
    return std::nullopt;
  return ShardOf(service, key, shard_count_);
}

std::vector<operation_outcome> ledger::CommitFor(
    std::uint32_t shard,
    std::vector<ledger_operation> operations,
    time_point deadline) {
  return committers_[shard]->Commit(std::move(operations), deadline);
}

reservation_ticket ledger::TicketFor(const reservation_request& request) {
  reservation_ticket ticket;
  ticket.service = request.service;
  ticket.key = request.key;
  ticket.request_digest = request.request_digest;
  ticket.nonce = {process_number_, ++reservations_};
  ticket.holder = options_.self;
  ticket.dispatch_before = request.deadline;
  ticket.doubt_after = clock_.wall_now() + (request.deadline - clock_.now()) +
                       options_.doubt_margin;
  return ticket;
}

settle_effect ledger::Complete(const reservation_ticket& ticket,
                               recorded_answer answer) {
  return Settle(ticket, complete_operation{ticket, Bound(std::move(answer))});
}

settle_effect ledger::Release(const reservation_ticket& ticket) {
  return Settle(ticket, release_operation{ticket, std::nullopt, false});
}

settle_effect ledger::MarkUnknown(const reservation_ticket& ticket) {
  return Settle(ticket, mark_unknown_operation{ticket});
}

// The platform may be down when the answer comes. The caller has waited for
// it and gets it; the settlement is kept and tried again. Until then a repeat
// is told "in progress" or "in doubt", so nothing runs twice; if this process
// dies first, an operator finds the reservation in doubt.
settle_effect ledger::Settle(const reservation_ticket& ticket,
                             ledger_operation operation) {
  const auto outcome = Commit(ticket, operation, clock_.now() + kSettleTimeout);
  const auto* effect = std::get_if<settle_effect>(&outcome);
  if (effect == nullptr) {
    pending_.Add(ShardOf(ticket.service, ticket.key, shard_count_),
                 std::move(operation));
    metrics_.Count("ledger_settlements_total", "effect=\"pending\"");
    return settle_effect::kPending;
  }
  metrics_.Count(
      "ledger_settlements_total",
      fmt::format("effect=\"{}\"", NameOf(kSettleEffectNames, *effect)));
  if (*effect == settle_effect::kSuperseded) {
    Log(log_level::kError, "ledger-run-after-release",
        {{"service", ticket.service}, {"key", ticket.key}});
  }
  return *effect;
}

void ledger::RetryPending() {
  std::map<std::uint32_t, std::vector<pending_settlements::item>> by_shard;
  for (auto& item : pending_.TakeDue(clock_.now()))
    by_shard[item.shard].push_back(std::move(item));
  for (auto& [shard, items] : by_shard)
    RetryShard(shard, std::move(items));
  metrics_.Set("ledger_pending", {}, static_cast<double>(pending_.size()));
}

void ledger::RetryShard(std::uint32_t shard,
                        std::vector<pending_settlements::item> items) {
  std::vector<ledger_operation> operations;
  operations.reserve(items.size());
  for (const auto& item : items)
    operations.push_back(item.operation);
  const auto outcomes = committers_[shard]->Commit(
      std::move(operations), clock_.now() + kSettleTimeout);
  std::size_t settled = 0;
  for (std::size_t i = 0; i < items.size(); ++i) {
    if (std::holds_alternative<settle_effect>(outcomes[i])) {
      ++settled;
      continue;
    }
    metrics_.CountRetry(result_code::kLedgerUnavailable);
    pending_.PutBack(std::move(items[i]), clock_.now());
  }
  pending_.Forget(settled);
}

// The platform is asked without the lock: it may be slow, and callers that
// wait for a lock can't leave at their deadlines. That several threads ask at
// the start costs a few calls once.
result<void> ledger::Prepare() {
  if (shard_count_ != 0)
    return Success();
  metrics_.Count("ledger_store_calls_total", "call=\"layout\"");
  BOOST_OUTCOME_TRY(agreed, AgreeOnShards(store_, options_.shards));
  std::lock_guard guard(prepare_lock_);
  if (shard_count_ == 0)
    OpenShards(agreed);
  return Success();
}

void ledger::OpenShards(std::uint32_t count) {
  if (count != options_.shards) {
    Log(log_level::kWarning, "ledger-shards-differ",
        {{"declared", options_.shards}, {"in_use", count}});
  }
  for (std::uint32_t shard = 0; shard < count; ++shard) {
    committers_.push_back(std::make_unique<shard_committer>(
        shard_store(store_, ShardKey(shard), metrics_), options_, clock_,
        [this, shard] { return router_.LeaderOf(shard).empty(); },
        [this, shard](release_operation orphan) {
          pending_.Add(shard, std::move(orphan));
        }));
  }
  shard_count_ = count;
}

shard_committer& ledger::CommitterOf(const std::string& service,
                                     const std::string& key) {
  return *committers_[ShardOf(service, key, shard_count_)];
}

judge_context ledger::Context() const {
  return {clock_.wall_now(), options_.retention, options_.self,
          options_.holder_gone};
}

void ledger::CountOutcome(const reservation_outcome& outcome) {
  metrics_.Count(
      "ledger_outcomes_total",
      fmt::format("outcome=\"{}\"", std::visit(outcome_name{}, outcome)));
}

}  // namespace samphire
