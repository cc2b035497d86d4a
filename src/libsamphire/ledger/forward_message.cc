#include "ledger/forward_message.h"

#include <utility>

#include "base/result_code.h"

namespace samphire {

namespace {

forward_ask AskFor(forward_kind kind, const reservation_ticket& ticket) {
  forward_ask ask;
  ask.kind = kind;
  ask.entry.service = ticket.service;
  ask.entry.key = ticket.key;
  ask.entry.request_digest = ticket.request_digest;
  ask.entry.nonce = ticket.nonce;
  ask.entry.holder = ticket.holder;
  ask.entry.doubt_after = ticket.doubt_after;
  return ask;
}

struct to_ask {
  std::optional<forward_ask> operator()(const reserve_operation& o) const {
    return AskFor(forward_kind::kReserve, o.ticket);
  }
  std::optional<forward_ask> operator()(const complete_operation& o) const {
    auto ask = AskFor(forward_kind::kComplete, o.ticket);
    ask.entry.answer = o.answer;
    return ask;
  }
  std::optional<forward_ask> operator()(const release_operation& o) const {
    // One that shuts out a late write has to see the versions itself.
    if (o.fence_version || o.leave_mark)
      return std::nullopt;
    return AskFor(forward_kind::kRelease, o.ticket);
  }
  std::optional<forward_ask> operator()(const mark_unknown_operation& o) const {
    return AskFor(forward_kind::kMarkUnknown, o.ticket);
  }
  // An operator waits for this one, and it is rare.
  std::optional<forward_ask> operator()(const resolve_operation&) const {
    return std::nullopt;
  }
};

forward_answer Plain(forward_outcome outcome) {
  forward_answer answer;
  answer.outcome = outcome;
  return answer;
}

struct to_answer {
  forward_answer operator()(const reserved&) const {
    return Plain(forward_outcome::kReserved);
  }
  forward_answer operator()(const replay& o) const {
    auto answer = Plain(forward_outcome::kReplay);
    answer.code = static_cast<std::int32_t>(o.code);
    answer.settled_by_operator = o.settled_by_operator ? 1 : 0;
    answer.answer = o.answer;
    return answer;
  }
  forward_answer operator()(const in_progress& o) const {
    auto answer = Plain(forward_outcome::kInProgress);
    answer.retry_after_ms = static_cast<std::uint32_t>(o.retry_after.count());
    return answer;
  }
  forward_answer operator()(const in_doubt&) const {
    return Plain(forward_outcome::kInDoubt);
  }
  forward_answer operator()(const refused& o) const {
    auto answer = Plain(forward_outcome::kRefused);
    answer.code = static_cast<std::int32_t>(o.code);
    return answer;
  }
  forward_answer operator()(settle_effect o) const {
    return Plain(o == settle_effect::kSuperseded ? forward_outcome::kSuperseded
                                                 : forward_outcome::kRecorded);
  }
};

std::optional<operation_outcome> ReservationOutcome(
    const forward_answer& answer,
    const reservation_ticket& ticket) {
  const auto code = ResultCodeOf(answer.code);
  switch (answer.outcome) {
    case forward_outcome::kReserved:
      return reserved{ticket};
    case forward_outcome::kReplay:
      if (!code)
        return std::nullopt;
      return replay{answer.answer, *code, answer.settled_by_operator != 0};
    case forward_outcome::kInProgress:
      return in_progress{milliseconds(answer.retry_after_ms)};
    case forward_outcome::kInDoubt:
      return in_doubt{};
    default:
      // A refusal may be for the leader's own trouble with the platform, so
      // that this entry had better see for itself.
      return std::nullopt;
  }
}

}  // namespace

std::optional<forward_ask> ToAsk(const ledger_operation& operation) {
  return std::visit(to_ask{}, operation);
}

ledger_operation ToOperation(const forward_ask& ask) {
  const reservation_ticket ticket{
      ask.entry.service, ask.entry.key,    ask.entry.request_digest,
      ask.entry.nonce,   ask.entry.holder, ask.entry.doubt_after,
      time_point::max()};
  switch (ask.kind) {
    case forward_kind::kReserve:
      return reserve_operation{ticket};
    case forward_kind::kComplete:
      return complete_operation{ticket, ask.entry.answer};
    case forward_kind::kRelease:
      return release_operation{ticket, std::nullopt, false};
    case forward_kind::kMarkUnknown:
      break;
  }
  return mark_unknown_operation{ticket};
}

forward_answer ToAnswer(const operation_outcome& outcome) {
  return std::visit(to_answer{}, outcome);
}

std::optional<operation_outcome> ToOutcome(const forward_answer& answer,
                                           const ledger_operation& operation) {
  if (const auto* reserve = std::get_if<reserve_operation>(&operation))
    return ReservationOutcome(answer, reserve->ticket);
  if (answer.outcome == forward_outcome::kRecorded)
    return settle_effect::kRecorded;
  if (answer.outcome == forward_outcome::kSuperseded)
    return settle_effect::kSuperseded;
  return std::nullopt;
}

}  // namespace samphire
