#include "gateway/local_server.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "decision/retry_policy.h"
#include "gateway/target_request.h"

namespace samphire {

namespace {

// Sent to callers if no better estimate is known: about the duration of one
// request.
constexpr milliseconds kDefaultRetryAfter{1000};

std::string FingerprintTextOf(const caller_request& request) {
  return std::to_string(request.fingerprint);
}

// Returns what the ledger records of a response; the body and headers only if
// the response was buffered.
recorded_response RecordOf(const relay_result& end) {
  recorded_response record;
  record.status = static_cast<std::uint16_t>(end.status);
  if (!end.response)
    return record;
  record.content_recorded = 1;
  record.body = end.response->body;
  const auto& head = end.response->head;
  for (const auto* name : {"Content-Type", "Date", "Location"}) {
    if (head.has(name))
      record.headers.push_back({name, head.get(name)});
  }
  return record;
}

buffered_response ResponseOf(const recorded_response& record) {
  buffered_response response;
  response.head.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(record.status));
  response.head.setReason(
      Poco::Net::HTTPResponse::getReasonForStatus(response.head.getStatus()));
  for (const auto& header : record.headers)
    response.head.set(header.name, header.value);
  response.head.setContentLength(
      static_cast<std::streamsize>(record.body.size()));
  response.body = record.body;
  return response;
}

}  // namespace

local_server::local_server(gate_set& gates,
                           ledger& reservations,
                           fleet_quarantine& quarantine,
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

// A request that may not be repeated goes to the ledger first. Only then does
// "not run" hold for the request and not merely for this attempt; and a
// repeated request is answered from the record without a slot, even under
// overload.
serve_result local_server::Serve(const caller_request& request,
                                 const std::string& /*region*/,
                                 const caller_watch& caller,
                                 response_sink& sink) {
  progress state{request, caller, sink, gates_.Find(request.service->name)};
  if (!state.gate)
    return serve_failure{
        MakeStatus(state, result_code::kNoTargetAvailable, run_state::kNotRun)};
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
  return RunAttempts(state);
}

std::optional<serve_result> local_server::Reserve(progress& state) {
  const auto outcome = ledger_.Reserve({
      .service = state.request.service->name,
      .key = state.request.idempotency_key,
      .request_digest = FingerprintTextOf(state.request),
      .deadline = state.request.deadline,
  });
  if (const auto* got = std::get_if<reserved>(&outcome)) {
    state.ticket = got->ticket;
    return std::nullopt;
  }
  if (const auto* found = std::get_if<replay>(&outcome))
    return Replay(state, *found);
  if (const auto* running = std::get_if<in_progress>(&outcome)) {
    auto status = MakeStatus(state, result_code::kReservationInProgress,
                             run_state::kUnknown);
    status.retry_after = running->retry_after;
    return serve_failure{status};
  }
  if (std::holds_alternative<in_doubt>(outcome)) {
    return serve_failure{
        MakeStatus(state, result_code::kOutcomeUnknown, run_state::kUnknown)};
  }
  const auto& refusal = std::get<refused>(outcome);
  auto status = MakeStatus(state, refusal.code, run_state::kNotRun);
  status.detail = refusal.detail;
  return serve_failure{status};
}

serve_result local_server::Replay(progress& state, const replay& found) {
  const auto status = MakeStatus(state, found.code, run_state::kRan);
  if (found.response.status == 0)
    return serve_failure{status};
  SendBuffered(state.sink, ResponseOf(found.response), status);
  return response_sent{};
}

std::optional<response_status> local_server::CheckQuarantine(progress& state) {
  switch (quarantine_.DecisionFor(state.request.fingerprint)) {
    case quarantine_decision::kUnrestricted:
      return std::nullopt;
    case quarantine_decision::kIsolate:
      state.admission.isolate = true;
      AvoidLostTargets(state);
      return std::nullopt;
    case quarantine_decision::kWait:
      return MakeStatus(state, result_code::kSuspectRunning,
                        run_state::kNotRun);
    case quarantine_decision::kQuarantined:
      return MakeStatus(state, result_code::kQuarantined, run_state::kNotRun);
  }
  return std::nullopt;
}

// A suspect that ran again on the target with which it was lost would crash
// that target once more and prove nothing; only the loss of a second target is
// evidence.
void local_server::AvoidLostTargets(progress& state) {
  auto& avoided = state.admission.avoid_failure_domains;
  for (const auto& lost : quarantine_.LostTargets(state.request.fingerprint)) {
    for (const auto& each : state.request.service->targets) {
      if (each.name == lost)
        avoided.push_back(each.failure_domain);
    }
  }
}

serve_result local_server::RunAttempts(progress& state) {
  while (true) {
    if (auto status = CheckQuarantine(state))
      return Fail(state, status->code, run_state::kNotRun, kDefaultRetryAfter);
    const auto wait = state.gate->Acquire(state.admission, state.caller);
    if (const auto* refused = std::get_if<refusal>(&wait)) {
      return Fail(state, refused->reason, run_state::kNotRun,
                  refused->retry_after);
    }
    if (std::holds_alternative<caller_disconnected>(wait))
      return Fail(state, result_code::kCallerGone, run_state::kNotRun, {});
    const auto& grant = std::get<slot_grant>(wait);
    ++state.attempts;
    // A reservation may be dispatched only until its dispatch time. After that
    // another entry may treat it as in doubt, and an operator may release it.
    if (state.ticket && !state.ticket->MayDispatch(clock_.now())) {
      state.gate->Finish(grant, attempt_outcome::kCancelled, duration{0});
      return Fail(state, result_code::kQueueExpired, run_state::kNotRun,
                  kDefaultRetryAfter);
    }
    if (auto end = Conclude(state, grant, RunAttempt(state, grant)))
      return *std::move(end);
  }
}

// A crash can be attributed to a request only if it was alone on its
// connection. A request that is lost on a kept connection needs another
// attempt: where none is allowed, its caller would lose it.
connection_use local_server::ChooseConnection(const progress& state) {
  if (state.was_stale || state.admission.isolate)
    return connection_use::kNew;
  const auto& limits = state.request.deployment->declared().limits;
  const bool may_retry =
      state.attempts < limits.max_attempts &&
      budgets_.Allows(state.request.service->name, clock_.now());
  return may_retry ? connection_use::kAny : connection_use::kRecent;
}

// A caller that disconnects cancels its work, unless that work may not be
// repeated: if it were cut off, nobody could tell whether it had run, and an
// operator would have to resolve it. It runs to completion instead and is
// recorded, and the caller gets the response when it sends the request again.
relay_result local_server::RunAttempt(progress& state,
                                      const slot_grant& grant) {
  static const caller_watch no_caller;
  const auto& request = state.request;
  const auto started = clock_.now();
  quarantine_.AttemptStarted(request.fingerprint, grant.target);
  response_relay relay(pool_, state.ticket ? no_caller : state.caller,
                       state.sink,
                       MakeStatus(state, result_code::kOk, run_state::kRan));
  auto out = MakeTargetRequest(request, grant.address, clock_.now());
  if (out.connection != connection_use::kNew)
    out.connection = ChooseConnection(state);
  auto end = relay.Run(out);
  state.was_stale |= end.may_have_been_stale;
  quarantine_.AttemptFinished(request.fingerprint, grant.target, end.outcome,
                              clock_.now() - started);
  // The end of a connection that the target may have closed long ago says
  // nothing about the target.
  state.gate->Finish(
      grant,
      end.may_have_been_stale ? attempt_outcome::kCancelled : end.outcome,
      end.target_time);
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

std::optional<serve_result> local_server::Conclude(progress& state,
                                                   const slot_grant& grant,
                                                   relay_result end) {
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
  // The target's own response, even if it reports an error, tells the caller
  // more than a refusal by the entry.
  if (end.outcome == attempt_outcome::kTargetError)
    return Deliver(state, std::move(end));
  const auto& final = std::get<final_result>(decision);
  return Fail(state, final.code, final.run, kDefaultRetryAfter);
}

serve_result local_server::Deliver(progress& state, relay_result end) {
  if (end.response) {
    SendBuffered(state.sink, *end.response,
                 MakeStatus(state, result_code::kOk, run_state::kRan));
  }
  metrics_.Observe("request_seconds",
                   "service=\"" + state.request.service->name + "\",class=\"" +
                       state.request.request_class->name + "\"",
                   clock_.now() - state.request.arrived);
  if (!state.ticket)
    return response_sent{};
  // A response of which at least the head arrived proves that the request ran,
  // even if the rest was lost on the way to the caller.
  ledger_.Complete(*state.ticket, RecordOf(end));
  return response_sent{};
}

serve_result local_server::Fail(progress& state,
                                result_code code,
                                run_state run,
                                milliseconds retry_after) {
  // A later attempt that did not run doesn't prove that an earlier one did not.
  if (run == run_state::kNotRun && state.may_have_run)
    run = run_state::kUnknown;
  if (state.ticket) {
    if (run == run_state::kNotRun)
      ledger_.Release(*state.ticket);
    else
      ledger_.MarkUnknown(*state.ticket);
  }
  auto status = MakeStatus(state, code, run);
  status.retry_after = retry_after;
  return serve_failure{status};
}

response_status local_server::MakeStatus(const progress& state,
                                         result_code code,
                                         run_state run) const {
  return response_status{.code = code,
                         .run = run,
                         .config_version = state.request.deployment->version(),
                         .retry_after = kDefaultRetryAfter};
}

}  // namespace samphire
