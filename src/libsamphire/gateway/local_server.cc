#include "gateway/local_server.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "decision/retry_policy.h"
#include "gateway/target_request.h"

namespace samphire {

namespace {

// When nothing better is known: about the time of one request.
constexpr milliseconds kDefaultRetryAfter{1000};

std::string DigestTextOf(const caller_request& request) {
  return std::to_string(request.fingerprint);
}

recorded_response RecordOf(const relay_end& end) {
  recorded_response record;
  record.status = static_cast<std::uint16_t>(end.status);
  if (!end.answer)
    return record;
  record.content_recorded = 1;
  record.body = end.answer->body;
  const auto& head = end.answer->head;
  for (const auto* name : {"Content-Type", "Date", "Location"}) {
    if (head.has(name))
      record.headers.push_back({name, head.get(name)});
  }
  return record;
}

held_answer AnswerOf(const recorded_response& record) {
  held_answer answer;
  answer.head.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(record.status));
  answer.head.setReason(
      Poco::Net::HTTPResponse::getReasonForStatus(answer.head.getStatus()));
  for (const auto& header : record.headers)
    answer.head.set(header.name, header.value);
  answer.head.setContentLength(
      static_cast<std::streamsize>(record.body.size()));
  answer.body = record.body;
  return answer;
}

}  // namespace

local_server::local_server(gate_set& gates,
                           ledger& reservations,
                           guarded_quarantine& quarantine,
                           retry_budgets& budgets,
                           connection_pool& pool,
                           const clock_source& clock,
                           metrics& counters)
    : gates_(gates),
      ledger_(reservations),
      quarantine_(quarantine),
      budgets_(budgets),
      pool_(pool),
      clock_(clock),
      metrics_(counters) {}

// The ledger comes first for what may not be repeated: only then is "not run"
// true of the request and not just of this try, and a repeat is answered from
// the record without a slot, also under overload.
serve_end local_server::Serve(const caller_request& request,
                              const std::string& /*region*/,
                              const caller_watch& caller,
                              answer_sink& sink) {
  progress state{request, caller, sink, gates_.Find(request.service->name)};
  if (!state.gate)
    return unanswered{
        Note(state, result_code::kNoTargetAvailable, run_state::kNotRun)};
  state.admission = admission_request{
      .id = next_id_++,
      .request_class = request.request_class,
      .home_region = request.home_region,
      .arrived = request.arrived,
      .deadline = request.deadline,
  };
  if (!request.request_class->repeatable) {
    if (auto end = Reserve(state))
      return *std::move(end);
  }
  const auto& limits = request.deployment->declared().limits;
  budgets_.OnFirstAttempt(request.service->name, limits.retry_budget_percent,
                          clock_.now());
  return Attempt(state);
}

std::optional<serve_end> local_server::Reserve(progress& state) {
  const auto outcome = ledger_.Reserve({
      .service = state.request.service->name,
      .key = state.request.idempotency_key,
      .request_digest = DigestTextOf(state.request),
      .deadline = state.request.deadline,
  });
  if (const auto* got = std::get_if<reserved>(&outcome)) {
    state.ticket = got->ticket;
    return std::nullopt;
  }
  if (const auto* found = std::get_if<replay>(&outcome))
    return Replay(state, *found);
  if (const auto* running = std::get_if<in_progress>(&outcome)) {
    auto note =
        Note(state, result_code::kReservationInProgress, run_state::kUnknown);
    note.retry_after = running->retry_after;
    return unanswered{note};
  }
  if (std::holds_alternative<in_doubt>(outcome)) {
    return unanswered{
        Note(state, result_code::kOutcomeUnknown, run_state::kUnknown)};
  }
  const auto& refusal = std::get<refused>(outcome);
  auto note = Note(state, refusal.code, run_state::kNotRun);
  note.detail = refusal.detail;
  return unanswered{note};
}

serve_end local_server::Replay(progress& state, const replay& found) {
  const auto note = Note(state, found.code, run_state::kRan);
  if (found.response.status == 0)
    return unanswered{note};
  SendHeld(state.sink, AnswerOf(found.response), note);
  return answered{};
}

std::optional<response_status> local_server::CheckQuarantine(progress& state) {
  switch (quarantine_.Judge(state.request.fingerprint)) {
    case quarantine_decision::kUnrestricted:
      return std::nullopt;
    case quarantine_decision::kIsolate:
      state.admission.isolate = true;
      AvoidLostTargets(state);
      return std::nullopt;
    case quarantine_decision::kWait:
      return Note(state, result_code::kSuspectRunning, run_state::kNotRun);
    case quarantine_decision::kQuarantined:
      return Note(state, result_code::kQuarantined, run_state::kNotRun);
  }
  return std::nullopt;
}

// A suspect that went back to the target which it was lost with would take it
// down once more and prove nothing: only a second target does.
void local_server::AvoidLostTargets(progress& state) {
  auto& avoided = state.admission.avoid_failure_domains;
  for (const auto& lost : quarantine_.LostWith(state.request.fingerprint)) {
    for (const auto& each : state.request.service->targets) {
      if (each.name == lost)
        avoided.push_back(each.failure_domain);
    }
  }
}

serve_end local_server::Attempt(progress& state) {
  while (true) {
    if (auto note = CheckQuarantine(state))
      return GiveUp(state, note->code, run_state::kNotRun, kDefaultRetryAfter);
    const auto wait = state.gate->Acquire(state.admission, state.caller);
    if (const auto* refused = std::get_if<refusal>(&wait)) {
      return GiveUp(state, refused->reason, run_state::kNotRun,
                    refused->retry_after);
    }
    if (std::holds_alternative<caller_left>(wait))
      return GiveUp(state, result_code::kCallerGone, run_state::kNotRun, {});
    const auto& grant = std::get<slot_grant>(wait);
    ++state.attempts;
    // A reservation may be dispatched up to its time only; after that another
    // entry may hold it to be in doubt, and an operator release it.
    if (state.ticket && !state.ticket->MayDispatch(clock_.now())) {
      state.gate->Finish(grant, attempt_outcome::kCancelled, duration{0});
      return GiveUp(state, result_code::kQueueExpired, run_state::kNotRun,
                    kDefaultRetryAfter);
    }
    if (auto end = Conclude(state, grant, RunOn(state, grant)))
      return *std::move(end);
  }
}

// A caller that leaves cancels its work, except where that work may not be
// repeated: cut off in the middle, nobody could tell whether it ran, and an
// operator would have to settle it. Let run to its end, it is recorded, and the
// caller that sends it again gets the answer.
relay_end local_server::RunOn(progress& state, const slot_grant& grant) {
  static const caller_watch nobody;
  const auto& request = state.request;
  quarantine_.Started(request.fingerprint, grant.target);
  answer_relay relay(pool_, state.ticket ? nobody : state.caller, state.sink,
                     Note(state, result_code::kOk, run_state::kRan));
  auto out = MakeTargetRequest(request, grant.address, clock_.now());
  out.fresh_connection |= state.fresh_connection || state.admission.isolate;
  auto end = relay.Run(out);
  state.fresh_connection |= end.was_stale;
  state.may_have_run |= end.was_stale;
  quarantine_.Finished(request.fingerprint, grant.target, end.outcome);
  state.gate->Finish(grant, end.outcome, end.target_time);
  metrics_.Count("attempts_total",
                 "outcome=\"" +
                     std::string(NameOf(kAttemptOutcomeNames, end.outcome)) +
                     "\"");
  if (end.outcome != attempt_outcome::kOk) {
    pool_.CloseIdle(grant.address);
    Log(log_level::kInfo, "attempt-failed",
        {{"request", request.id},
         {"service", request.service->name},
         {"target", grant.target},
         {"outcome", NameOf(kAttemptOutcomeNames, end.outcome)}});
  }
  return end;
}

std::optional<serve_end> local_server::Conclude(progress& state,
                                                const slot_grant& grant,
                                                relay_end end) {
  if (end.relayed || end.outcome == attempt_outcome::kOk)
    return Deliver(state, std::move(end));
  const auto now = clock_.now();
  const auto& service = state.request.service->name;
  const auto& limits = state.request.deployment->declared().limits;
  const auto decision =
      DecideRetry({.outcome = end.outcome,
                   .attempts = state.attempts,
                   .max_attempts = limits.max_attempts,
                   .repeatable = state.request.request_class->repeatable,
                   .may_have_run = state.may_have_run,
                   .budget_allows = budgets_.Allows(service, now),
                   .deadline = state.request.deadline,
                   .expected_service = end.target_time},
                  now);
  if (const auto* again = std::get_if<retry_elsewhere>(&decision)) {
    budgets_.Spend(service, now);
    metrics_.CountRetry(again->reason);
    state.may_have_run |= RunStateOf(end.outcome) != run_state::kNotRun;
    state.admission.id = next_id_++;
    state.admission.retry = true;
    state.admission.avoid_failure_domains.push_back(grant.failure_domain);
    return std::nullopt;
  }
  // The target's own word, even if it tells of an error, says more than ours.
  if (end.outcome == attempt_outcome::kTargetError)
    return Deliver(state, std::move(end));
  const auto& final = std::get<final_result>(decision);
  return GiveUp(state, final.code, final.run, kDefaultRetryAfter);
}

serve_end local_server::Deliver(progress& state, relay_end end) {
  if (end.answer) {
    SendHeld(state.sink, *end.answer,
             Note(state, result_code::kOk, run_state::kRan));
  }
  metrics_.Observe("request_seconds",
                   "service=\"" + state.request.service->name + "\",class=\"" +
                       state.request.request_class->name + "\"",
                   clock_.now() - state.request.arrived);
  if (!state.ticket)
    return answered{};
  // An answer of which at least the head came proves that the request ran, even
  // if the rest was lost on the way to the caller.
  ledger_.Complete(*state.ticket, RecordOf(end));
  return answered{};
}

serve_end local_server::GiveUp(progress& state,
                               result_code code,
                               run_state run,
                               milliseconds retry_after) {
  // A later attempt that was refused does not undo an earlier one.
  if (run == run_state::kNotRun && state.may_have_run)
    run = run_state::kUnknown;
  if (state.ticket) {
    if (run == run_state::kNotRun)
      ledger_.Release(*state.ticket);
    else
      ledger_.MarkUnknown(*state.ticket);
  }
  auto note = Note(state, code, run);
  note.retry_after = retry_after;
  return unanswered{note};
}

response_status local_server::Note(const progress& state,
                                   result_code code,
                                   run_state run) const {
  return response_status{.code = code,
                         .run = run,
                         .config_version = state.request.deployment->version(),
                         .retry_after = kDefaultRetryAfter};
}

}  // namespace samphire
