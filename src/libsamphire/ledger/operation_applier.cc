#include "ledger/operation_applier.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Lower bound on the wait suggested to a caller. A repeat that comes back
// sooner would only cost another read from the platform.
constexpr milliseconds kMinRetryAfter{200};

// Creates an entry for a ticket.
ledger_entry EntryOf(const reservation_ticket& ticket,
                     reservation_state state,
                     wall_time now) {
  ledger_entry entry;
  entry.service = ticket.service;
  entry.key = ticket.key;
  entry.request_digest = ticket.request_digest;
  entry.nonce = ticket.nonce;
  entry.holder = ticket.holder;
  entry.in_doubt_after = ticket.in_doubt_after;
  entry.state = state;
  entry.changed_at = now;
  return entry;
}

operation_applier::apply_result Refuse(result_code code) {
  return {refused{code, {}}};
}

// A settlement that holds; `changed` tells whether it altered the shard.
operation_applier::apply_result Recorded(bool changed) {
  return {settle_effect::kRecorded, changed};
}

replay ReplayOf(const ledger_entry& entry) {
  const auto code = entry.response.content_recorded != 0
                        ? result_code::kReplayed
                        : result_code::kAnswerTooLargeToRecord;
  return {entry.response, code, !entry.settled_by.empty()};
}

}  // namespace

operation_applier::apply_result operation_applier::operator()(
    const reserve_operation& operation) {
  const auto& ticket = operation.ticket;
  const auto* entry = Find(ticket.service, ticket.key);
  // A forwarded request was delayed for so long that its holder has released
  // the reservation in the meantime: no process would dispatch it, and it would
  // end in doubt.
  if (entry != nullptr && entry->nonce == ticket.nonce &&
      entry->state == reservation_state::kReleased) {
    return Refuse(result_code::kLedgerUnavailable);
  }
  if (entry == nullptr || entry->state == reservation_state::kReleased)
    return InsertReserved(ticket);
  // The response to the write was lost, but the write took effect, as the nonce
  // shows. Without this check the holder would take its own reservation for
  // that of another entry and leave it in doubt; without reading back at all,
  // it might dispatch on the strength of a write that never happened.
  if (entry->nonce == ticket.nonce &&
      entry->state == reservation_state::kReserved) {
    return {reserved{ticket}, false, true};
  }
  return ApplyRepeat(*entry, operation);
}

operation_applier::apply_result operation_applier::ApplyRepeat(
    const ledger_entry& entry,
    const reserve_operation& operation) const {
  // A caller that assigns one key to two different requests would otherwise get
  // the response to the other request and believe that its own had been
  // executed.
  if (entry.request_digest != operation.ticket.request_digest)
    return Refuse(result_code::kKeyReused);
  if (entry.state == reservation_state::kDone)
    return {ReplayOf(entry), false, true};
  if (IsInDoubt(entry, context_))
    return {in_doubt{}};
  const auto remaining = std::chrono::duration_cast<milliseconds>(
      entry.in_doubt_after - context_.now);
  // Suggests half of the time left until the reservation is in doubt: the end
  // of a short execution is noticed soon, and a long execution causes only a
  // few repeats.
  return {in_progress{std::max(kMinRetryAfter, remaining / 2)}};
}

operation_applier::apply_result operation_applier::InsertReserved(
    const reservation_ticket& ticket) {
  auto entry = EntryOf(ticket, reservation_state::kReserved, context_.now);
  const auto old = shard_.entries_.find(std::pair(ticket.service, ticket.key));
  if (old != shard_.entries_.end())
    shard_.Erase(old);
  ledger_shard size_probe;
  size_probe.Insert(entry);
  // Under a load of more requests per hour than the shard is sized for,
  // refusing new reservations keeps space for settling the existing ones.
  // Otherwise the value would outgrow what the platform accepts, completions
  // would fail too, and their reservations would end in doubt.
  if (!shard_.EnsureSpace(size_probe.bytes()))
    return Refuse(result_code::kLedgerFull);
  shard_.Insert(std::move(entry));
  return {reserved{ticket}, true};
}

operation_applier::apply_result operation_applier::operator()(
    const complete_operation& operation) {
  const auto& ticket = operation.ticket;
  auto* entry = Find(ticket.service, ticket.key);
  // The request was executed. Whatever was decided in the meantime, another
  // execution has to be prevented, unless a different reservation has already
  // taken the key after an operator's release. That execution can't be undone;
  // ledger::Settle logs it.
  if (entry != nullptr && entry->nonce != ticket.nonce)
    return {settle_effect::kSuperseded};
  if (entry != nullptr && entry->state == reservation_state::kDone &&
      entry->response == operation.response) {
    return Recorded(false);
  }
  auto done = entry != nullptr
                  ? *entry
                  : EntryOf(ticket, reservation_state::kDone, context_.now);
  done.state = reservation_state::kDone;
  done.changed_at = context_.now;
  done.response = operation.response;
  if (entry != nullptr)
    shard_.Erase(shard_.entries_.find(std::pair(ticket.service, ticket.key)));
  ledger_shard size_probe;
  size_probe.Insert(done);
  // Recording that the request was executed is more important than recording
  // the response.
  if (!shard_.EnsureSpace(size_probe.bytes())) {
    done.response = recorded_response{};
    done.response.status = operation.response.status;
  }
  shard_.Insert(std::move(done));
  return Recorded(true);
}

operation_applier::apply_result operation_applier::operator()(
    const release_operation& operation) {
  const auto& ticket = operation.ticket;
  if (operation.leave_tombstone &&
      Find(ticket.service, ticket.key) == nullptr) {
    ledger_shard tombstone;
    tombstone.Insert(
        EntryOf(ticket, reservation_state::kReleased, context_.now));
    const bool fits = shard_.EnsureSpace(tombstone.bytes());
    if (fits)
      shard_.Insert(tombstone.entries().begin()->second);
    return Recorded(fits);
  }
  return Settle(ticket, reservation_state::kReleased);
}

operation_applier::apply_result operation_applier::operator()(
    const mark_unknown_operation& operation) {
  return Settle(operation.ticket, reservation_state::kUnknown);
}

operation_applier::apply_result operation_applier::Settle(
    const reservation_ticket& ticket,
    reservation_state state) {
  auto* entry = Find(ticket.service, ticket.key);
  if (entry == nullptr || entry->nonce != ticket.nonce ||
      entry->state != reservation_state::kReserved) {
    return Recorded(false);
  }
  SetState(*entry, state);
  return Recorded(true);
}

operation_applier::apply_result operation_applier::operator()(
    const resolve_operation& operation) {
  auto* entry = Find(operation.service, operation.key);
  if (entry == nullptr)
    return Refuse(result_code::kUnknownLedgerKey);
  const auto state = operation.as == resolution::kDone
                         ? reservation_state::kDone
                         : reservation_state::kReleased;
  // The same decision again: the response to the first call was lost.
  if (entry->state == state && entry->settled_by == operation.operator_name &&
      entry->reason == operation.reason) {
    return Recorded(false);
  }
  // An execution that may still be going on is not for an operator to settle.
  if (!IsInDoubt(*entry, context_))
    return Refuse(result_code::kLedgerKeySettled);
  auto settled = *entry;
  settled.settled_by = operation.operator_name;
  settled.reason = operation.reason;
  SetState(settled, state);
  shard_.Erase(
      shard_.entries_.find(std::pair(operation.service, operation.key)));
  shard_.Insert(std::move(settled));
  return Recorded(true);
}

ledger_entry* operation_applier::Find(const std::string& service,
                                      const std::string& key) {
  const auto found = shard_.entries_.find(std::pair(service, key));
  return found == shard_.entries_.end() ? nullptr : &found->second;
}

void operation_applier::SetState(ledger_entry& entry, reservation_state state) {
  entry.state = state;
  entry.changed_at = context_.now;
}

}  // namespace samphire
