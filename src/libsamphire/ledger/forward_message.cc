#include "ledger/forward_message.h"

#include <utility>

#include "base/result_code.h"

namespace samphire {

namespace {

// Returns a request that carries the ticket.
forward_request RequestFor(forward_kind kind,
                           const reservation_ticket& ticket) {
  forward_request request;
  request.kind = kind;
  request.entry.service = ticket.service;
  request.entry.key = ticket.key;
  request.entry.request_digest = ticket.request_digest;
  request.entry.nonce = ticket.nonce;
  request.entry.holder = ticket.holder;
  request.entry.in_doubt_after = ticket.in_doubt_after;
  return request;
}

// Visitors over operations and outcomes.
struct to_request {
  std::optional<forward_request> operator()(const reserve_operation& o) const {
    return RequestFor(forward_kind::kReserve, o.ticket);
  }
  std::optional<forward_request> operator()(const complete_operation& o) const {
    auto request = RequestFor(forward_kind::kComplete, o.ticket);
    request.entry.response = o.response;
    return request;
  }
  std::optional<forward_request> operator()(const release_operation& o) const {
    // A release that fences off a delayed write has to compare the shard's
    // versions itself.
    if (o.fence_version || o.leave_tombstone)
      return std::nullopt;
    return RequestFor(forward_kind::kRelease, o.ticket);
  }
  std::optional<forward_request> operator()(
      const mark_unknown_operation& o) const {
    return RequestFor(forward_kind::kMarkUnknown, o.ticket);
  }
  // An operator waits for this operation, and it is rare, so that it is
  // committed directly.
  std::optional<forward_request> operator()(const resolve_operation&) const {
    return std::nullopt;
  }
};

forward_response ResponseWith(forward_outcome outcome) {
  forward_response response;
  response.outcome = outcome;
  return response;
}

struct to_response {
  forward_response operator()(const reserved&) const {
    return ResponseWith(forward_outcome::kReserved);
  }
  forward_response operator()(const replay& o) const {
    auto response = ResponseWith(forward_outcome::kReplay);
    response.code = static_cast<std::int32_t>(o.code);
    response.settled_by_operator = o.settled_by_operator ? 1 : 0;
    response.response = o.response;
    return response;
  }
  forward_response operator()(const in_progress& o) const {
    auto response = ResponseWith(forward_outcome::kInProgress);
    response.retry_after_ms = static_cast<std::uint32_t>(o.retry_after.count());
    return response;
  }
  forward_response operator()(const in_doubt&) const {
    return ResponseWith(forward_outcome::kInDoubt);
  }
  forward_response operator()(const refused& o) const {
    auto response = ResponseWith(forward_outcome::kRefused);
    response.code = static_cast<std::int32_t>(o.code);
    return response;
  }
  forward_response operator()(settle_effect o) const {
    return ResponseWith(o == settle_effect::kSuperseded
                            ? forward_outcome::kSuperseded
                            : forward_outcome::kRecorded);
  }
};

std::optional<operation_outcome> ReservationOutcome(
    const forward_response& response,
    const reservation_ticket& ticket) {
  const auto code = ResultCodeOf(response.code);
  switch (response.outcome) {
    case forward_outcome::kReserved:
      return reserved{ticket};
    case forward_outcome::kReplay:
      if (!code)
        return std::nullopt;
      return replay{response.response, *code,
                    response.settled_by_operator != 0};
    case forward_outcome::kInProgress:
      return in_progress{milliseconds(response.retry_after_ms)};
    case forward_outcome::kInDoubt:
      return in_doubt{};
    default:
      // A refusal may be caused by the leader's own connection to the platform,
      // so this entry tries the platform itself.
      return std::nullopt;
  }
}

}  // namespace

std::optional<forward_request> ToRequest(const ledger_operation& operation) {
  return std::visit(to_request{}, operation);
}

ledger_operation ToOperation(const forward_request& request) {
  const reservation_ticket ticket{
      request.entry.service, request.entry.key,    request.entry.request_digest,
      request.entry.nonce,   request.entry.holder, request.entry.in_doubt_after,
      time_point::max()};
  switch (request.kind) {
    case forward_kind::kReserve:
      return reserve_operation{ticket};
    case forward_kind::kComplete:
      return complete_operation{ticket, request.entry.response};
    case forward_kind::kRelease:
      return release_operation{ticket, std::nullopt, false};
    case forward_kind::kMarkUnknown:
      break;
  }
  return mark_unknown_operation{ticket};
}

forward_response ToResponse(const operation_outcome& outcome) {
  return std::visit(to_response{}, outcome);
}

std::optional<operation_outcome> ToOutcome(const forward_response& response,
                                           const ledger_operation& operation) {
  if (const auto* reserve = std::get_if<reserve_operation>(&operation))
    return ReservationOutcome(response, reserve->ticket);
  if (response.outcome == forward_outcome::kRecorded)
    return settle_effect::kRecorded;
  if (response.outcome == forward_outcome::kSuperseded)
    return settle_effect::kSuperseded;
  return std::nullopt;
}

}  // namespace samphire
