#include "ledger/shard_judge.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// A repeat that comes back sooner than this only costs the platform a read.
constexpr milliseconds kShortestRetryAfter{200};

ledger_entry EntryOf(const reservation_ticket& ticket,
                     reservation_state state,
                     wall_time now) {
  ledger_entry entry;
  entry.service = ticket.service;
  entry.key = ticket.key;
  entry.request_digest = ticket.request_digest;
  entry.nonce = ticket.nonce;
  entry.holder = ticket.holder;
  entry.doubt_after = ticket.doubt_after;
  entry.state = state;
  entry.changed_at = now;
  return entry;
}

shard_judge::judgement Refuse(result_code code) {
  return {refused{code, {}}};
}

shard_judge::judgement Recorded(bool changed) {
  return {settle_effect::kRecorded, changed};
}

replay ReplayOf(const ledger_entry& entry) {
  const auto code = entry.answer.kept != 0
                        ? result_code::kReplayed
                        : result_code::kAnswerTooLargeToRecord;
  return {entry.answer, code, !entry.settled_by.empty()};
}

}  // namespace

shard_judge::judgement shard_judge::operator()(
    const reserve_operation& operation) {
  const auto& ticket = operation.ticket;
  const auto* entry = Find(ticket.service, ticket.key);
  // A forwarded ask that was under way for so long that its holder has given
  // up: nobody would dispatch it, and it would end in doubt.
  if (entry != nullptr && entry->nonce == ticket.nonce &&
      entry->state == reservation_state::kReleased) {
    return Refuse(result_code::kLedgerUnavailable);
  }
  if (entry == nullptr || entry->state == reservation_state::kReleased)
    return InsertReserved(ticket);
  // The answer to the write was lost, but it took effect: the nonce is ours.
  // Without this the holder would take its own reservation for another's and
  // leave it in doubt; without reading at all it might dispatch on a write
  // that never happened.
  if (entry->nonce == ticket.nonce &&
      entry->state == reservation_state::kReserved) {
    return {reserved{ticket}, false, true};
  }
  return JudgeRepeat(*entry, operation);
}

shard_judge::judgement shard_judge::JudgeRepeat(
    const ledger_entry& entry,
    const reserve_operation& operation) const {
  // A caller's program that hands out one key twice would otherwise be given
  // the answer to another request and believe its own had run.
  if (entry.request_digest != operation.ticket.request_digest)
    return Refuse(result_code::kKeyReused);
  if (entry.state == reservation_state::kDone)
    return {ReplayOf(entry), false, true};
  if (IsInDoubt(entry, context_))
    return {in_doubt{}};
  const auto left = std::chrono::duration_cast<milliseconds>(entry.doubt_after -
                                                             context_.now);
  // Half the time left: a run that ends early is found soon, and a long run
  // is asked for a few times only.
  return {in_progress{std::max(kShortestRetryAfter, left / 2)}};
}

shard_judge::judgement shard_judge::InsertReserved(
    const reservation_ticket& ticket) {
  auto entry = EntryOf(ticket, reservation_state::kReserved, context_.now);
  const auto old = shard_.entries_.find(std::pair(ticket.service, ticket.key));
  if (old != shard_.entries_.end())
    shard_.Erase(old);
  ledger_shard measured;
  measured.Insert(entry);
  // Load: more requests an hour than the shard was sized for. A value that
  // the platform refuses would stop completions too, so that runs end in
  // doubt; refusing new work keeps room for settling what is there.
  if (!shard_.MakeRoom(measured.bytes()))
    return Refuse(result_code::kLedgerFull);
  shard_.Insert(std::move(entry));
  return {reserved{ticket}, true};
}

shard_judge::judgement shard_judge::operator()(
    const complete_operation& operation) {
  const auto& ticket = operation.ticket;
  auto* entry = Find(ticket.service, ticket.key);
  // It ran: whatever was decided meanwhile, a further run must be prevented,
  // unless another reservation already took the key after an operator's
  // release. That run can't be called back; the caller of this logs it.
  if (entry != nullptr && entry->nonce != ticket.nonce)
    return {settle_effect::kSuperseded};
  if (entry != nullptr && entry->state == reservation_state::kDone &&
      entry->answer == operation.answer) {
    return Recorded(false);
  }
  auto done = entry != nullptr
                  ? *entry
                  : EntryOf(ticket, reservation_state::kDone, context_.now);
  done.state = reservation_state::kDone;
  done.changed_at = context_.now;
  done.answer = operation.answer;
  if (entry != nullptr)
    shard_.Erase(shard_.entries_.find(std::pair(ticket.service, ticket.key)));
  ledger_shard measured;
  measured.Insert(done);
  // That it ran matters more than what it answered.
  if (!shard_.MakeRoom(measured.bytes())) {
    done.answer = recorded_answer{};
    done.answer.status = operation.answer.status;
  }
  shard_.Insert(std::move(done));
  return Recorded(true);
}

shard_judge::judgement shard_judge::operator()(
    const release_operation& operation) {
  const auto& ticket = operation.ticket;
  if (operation.leave_mark && Find(ticket.service, ticket.key) == nullptr) {
    ledger_shard mark;
    mark.Insert(EntryOf(ticket, reservation_state::kReleased, context_.now));
    const bool room = shard_.MakeRoom(mark.bytes());
    if (room)
      shard_.Insert(mark.entries().begin()->second);
    return Recorded(room);
  }
  return Settle(ticket, reservation_state::kReleased);
}

shard_judge::judgement shard_judge::operator()(
    const mark_unknown_operation& operation) {
  return Settle(operation.ticket, reservation_state::kUnknown);
}

shard_judge::judgement shard_judge::Settle(const reservation_ticket& ticket,
                                           reservation_state state) {
  auto* entry = Find(ticket.service, ticket.key);
  if (entry == nullptr || entry->nonce != ticket.nonce ||
      entry->state != reservation_state::kReserved) {
    return Recorded(false);
  }
  SetState(*entry, state);
  return Recorded(true);
}

shard_judge::judgement shard_judge::operator()(
    const resolve_operation& operation) {
  auto* entry = Find(operation.service, operation.key);
  if (entry == nullptr)
    return Refuse(result_code::kUnknownLedgerKey);
  const auto state = operation.as == resolution::kDone
                         ? reservation_state::kDone
                         : reservation_state::kReleased;
  // The same settlement again: the answer to the first was lost.
  if (entry->state == state && entry->settled_by == operation.operator_name &&
      entry->reason == operation.reason) {
    return Recorded(false);
  }
  // A run that may still be going on is not for an operator to judge.
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

ledger_entry* shard_judge::Find(const std::string& service,
                                const std::string& key) {
  const auto found = shard_.entries_.find(std::pair(service, key));
  return found == shard_.entries_.end() ? nullptr : &found->second;
}

void shard_judge::SetState(ledger_entry& entry, reservation_state state) {
  entry.state = state;
  entry.changed_at = context_.now;
}

}  // namespace samphire
