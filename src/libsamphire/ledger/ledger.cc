#include "ledger/ledger.h"

#include <fmt/format.h>

#include <map>
#include <random>
#include <utility>

#include "base/log.h"
#include "ledger/ledger_layout.h"

namespace samphire {

namespace {

// Time after which a settlement is left to the retries; a call to the platform
// is not interrupted. Until then the request's thread waits, which delays a
// refusal or the end of a chunked response.
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
    return refused{result_code::kLedgerUnavailable,
                   "settlement outcome returned for a reservation"};
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

bool IsValid(const reservation_request& request) {
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
      process_nonce_(RandomNumber()),
      pending_(process_nonce_) {}

reservation_outcome ledger::Reserve(const reservation_request& request) {
  auto outcome = ReserveUncounted(request);
  CountOutcome(outcome);
  return outcome;
}

reservation_outcome ledger::ReserveUncounted(
    const reservation_request& request) {
  if (!IsValid(request))
    return refused{result_code::kBadIdempotencyKey, {}};
  if (clock_.now() >= request.deadline)
    return refused{result_code::kDeadlineUnreachable, {}};
  // If this process crashes, each settlement that only it knows of leaves a
  // reservation in doubt. The bound limits how many an operator would have to
  // settle.
  if (pending_.size() >= options_.max_pending)
    return refused{result_code::kLedgerUnavailable,
                   "too many settlements not yet recorded"};
  const auto opened = EnsureShardsOpen();
  if (!opened) {
    const auto code = opened.error().code == result_code::kStoreCorrupt
                          ? result_code::kStoreCorrupt
                          : result_code::kLedgerUnavailable;
    return refused{code, opened.error().detail};
  }
  const auto ticket = MakeTicket(request);
  return std::visit(
      to_reservation_outcome{},
      Commit(ticket, reserve_operation{ticket}, request.deadline));
}

// Commits by way of the shard's leader if another entry leads it and responds
// in time; otherwise directly, with the same nonce, so that it doesn't matter
// whether the leader committed the operation as well. If ten entries wrote to
// one shard themselves, they would conflict on every batch; a leader that
// writes for all of them makes as many calls as a single entry would.
operation_outcome ledger::Commit(const reservation_ticket& ticket,
                                 const ledger_operation& operation,
                                 time_point deadline) {
  const auto shard = ShardOf(ticket.service, ticket.key, shard_count_);
  const auto leader =
      forwarder_ == nullptr ? std::string() : router_.LeaderOf(shard);
  if (!leader.empty()) {
    auto outcome = forwarder_->Forward(leader, operation, deadline);
    const bool is_reserved =
        outcome && std::holds_alternative<reserved>(*outcome);
    if (outcome && (!is_reserved || ticket.MayDispatch(clock_.now())))
      return std::move(*outcome);
  }
  auto outcomes = committers_[shard]->Commit({operation}, deadline);
  // The caller is told "not run", but the leader may still commit the forwarded
  // reservation, which no process would then dispatch.
  if (!leader.empty() && std::holds_alternative<refused>(outcomes.front()) &&
      std::holds_alternative<reserve_operation>(operation)) {
    pending_.Add(shard, release_operation{ticket, std::nullopt, true});
  }
  return std::move(outcomes.front());
}

std::optional<std::uint32_t> ledger::ShardFor(const std::string& service,
                                              const std::string& key) {
  if (!EnsureShardsOpen())
    return std::nullopt;
  return ShardOf(service, key, shard_count_);
}

std::vector<operation_outcome> ledger::CommitFor(
    std::uint32_t shard,
    std::vector<ledger_operation> operations,
    time_point deadline) {
  return committers_[shard]->Commit(std::move(operations), deadline);
}

reservation_ticket ledger::MakeTicket(const reservation_request& request) {
  reservation_ticket ticket;
  ticket.service = request.service;
  ticket.key = request.key;
  ticket.request_digest = request.request_digest;
  ticket.nonce = {process_nonce_, ++reservation_count_};
  ticket.holder = options_.self;
  ticket.dispatch_before = request.deadline;
  ticket.in_doubt_after = clock_.wall_now() +
                          (request.deadline - clock_.now()) +
                          options_.in_doubt_margin;
  return ticket;
}

settle_effect ledger::Complete(const reservation_ticket& ticket,
                               recorded_response response) {
  return Settle(ticket, complete_operation{
                            ticket, DropOversizedContent(std::move(response))});
}

settle_effect ledger::Release(const reservation_ticket& ticket) {
  return Settle(ticket, release_operation{ticket, std::nullopt, false});
}

settle_effect ledger::MarkUnknown(const reservation_ticket& ticket) {
  return Settle(ticket, mark_unknown_operation{ticket});
}

// The platform may be unavailable when the target responds. The caller gets its
// response anyway; the settlement is kept and retried. Until it is written, a
// repeat is told "in progress" or "in doubt", so nothing is executed twice. If
// this process crashes first, the reservation stays in doubt until an operator
// settles it.
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
    pending_.Reschedule(std::move(items[i]), clock_.now());
  }
  pending_.MarkSettled(settled);
}

// The lock is not held during the call to the platform: the call may be slow,
// and callers that wait for a lock can't return at their deadlines. Several
// threads may thus read the layout at startup, which costs a few calls once.
result<void> ledger::EnsureShardsOpen() {
  if (shard_count_ != 0)
    return Success();
  metrics_.Count("ledger_store_calls_total", "call=\"layout\"");
  BOOST_OUTCOME_TRY(shard_count, LoadOrCreateLayout(store_, options_.shards));
  std::lock_guard guard(open_lock_);
  if (shard_count_ == 0)
    OpenShards(shard_count);
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

apply_context ledger::Context() const {
  return {clock_.wall_now(), options_.retention, options_.self,
          options_.holder_failed};
}

void ledger::CountOutcome(const reservation_outcome& outcome) {
  metrics_.Count(
      "ledger_outcomes_total",
      fmt::format("outcome=\"{}\"", std::visit(outcome_name{}, outcome)));
}

}  // namespace samphire
