#include "traffic/sending/traffic_dispatcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"
#include "front/front_limits.h"
#include "gateway/response_relay.h"
#include "routing/arrival_cause.h"
#include "traffic/placing/split_report.h"
#include "traffic/sending/target_sender.h"

namespace samphire {

namespace {

// Upper bound on all attempts of a request, whereas a route's own bound counts
// only those whose target may have run it. Attempts that reach no target put no
// load on targets, but each takes time, and after some of them the caller is
// better served by a failure.
constexpr std::uint32_t kMaxAttempts = 5;
// Minimum time until the deadline for a further attempt, which would otherwise
// only time out.
constexpr milliseconds kMinAttemptTime{20};
// Retry time given to callers whose last attempt failed.
constexpr milliseconds kFailureRetryAfter{100};

// Retry time given to callers whose request waits for the end of another run of
// the same request, which was lost with a target before.
constexpr milliseconds kSuspectRetryAfter{300};

// Returns a name of the target's process. Only a target that tells its start
// has another one after a restart.
std::string ProcessNameOf(const live_target& target) {
  return fmt::format("{}@{}", target.id, target.started_ms);
}

attempt_outcome OutcomeOf(const target_exchange_end& end) {
  switch (end.attempt.result) {
    case attempt_result::kAnswered:
      return attempt_outcome::kOk;
    case attempt_result::kTargetError:
      return attempt_outcome::kTargetError;
    case attempt_result::kTargetRefused:
    case attempt_result::kMisdirected:
      return attempt_outcome::kTargetShed;
    case attempt_result::kConnectFailed:
      return attempt_outcome::kConnectFailed;
    case attempt_result::kLost:
      return end.connection_lost ? attempt_outcome::kLost
                                 : attempt_outcome::kTruncated;
    case attempt_result::kTimedOut:
      return attempt_outcome::kTimedOut;
    case attempt_result::kCallerGone:
    case attempt_result::kNotSent:
      break;
  }
  return attempt_outcome::kCancelled;
}

// Whether the HTTP status for `code` tells callers that the request did not
// run.
bool ImpliesNotRun(result_code code) {
  const int status = InfoOf(code).http_status;
  return status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE ||
         status == Poco::Net::HTTPResponse::HTTP_TOO_MANY_REQUESTS;
}

}  // namespace

traffic_dispatcher::traffic_dispatcher(traffic_context& context,
                                       traffic_request& request,
                                       const caller_watch& caller,
                                       response_sink& sink)
    : context_(context),
      request_(request),
      caller_(caller),
      sink_(sink),
      placer_(context, request, ChooseService()),
      log_(context, request, placer_) {
  context_.shards.WithService(placer_.service(), [&](auto& shard) {
    shard.retries.OnRequest(context_.clock.now());
  });
}

std::string traffic_dispatcher::ChooseService() const {
  const auto& route = *request_.route;
  if (route.parts.size() < 2)
    return route.parts.front().service;
  const auto now = context_.clock.now();
  const auto part =
      context_.shards.WithSplit(route.name, now, [&](weighted_split& split) {
        if (split.IsChangedBy(route.parts))
          LogReplacedSplit(route.name, request_.manifest->version(), split);
        return split.Choose(route.parts, request_.key_hash, now);
      });
  return route.parts[part].service;
}

void traffic_dispatcher::Run() {
  while (MakeAttempt()) {
  }
  if (permit_)
    context_.limiter.ReturnPermit(request_.team->name, *permit_);
}

bool traffic_dispatcher::MakeAttempt() {
  if (!IsApiKeyValid()) {
    FinishWithoutAttempt(result_code::kUnknownApiKey, milliseconds{0});
    return false;
  }
  if (!CanKeep()) {
    FinishWithoutAttempt(result_code::kEntryLeaving, kLeavingRetryAfter);
    return false;
  }
  if (!PassesQuarantine() || !TakePermit())
    return false;
  auto placed = placer_.Place();
  if (const auto* refusal = std::get_if<placement_refusal>(&placed.decision)) {
    log_.NoPlacement(*refusal, placed.owner);
    FinishWithoutAttempt(refusal->reason, refusal->retry_after);
    return false;
  }
  const auto& target = std::get<placed_attempt>(placed.decision).target;
  ++progress_.attempts;
  progress_.last_target = target.id;
  auto end = Exchange(target);
  if (end.send)
    progress_.last_send = end.send;
  ReportAttemptEnd(placed, end);
  CountArrival(end);
  if (end.attempt.result == attempt_result::kNotSent)
    placer_.LeaveAlone(target);
  if (!MayRetry(end)) {
    Finish(std::move(end));
    return false;
  }
  if (end.response)
    failure_ = std::move(end.response);
  // The only target of a service may have closed a connection that rested.
  const bool has_others =
      context_.state.targets()->OfService(placer_.service()).size() > 1;
  if (has_others || !end.sent.may_have_been_stale)
    placer_.Exclude(target.id);
  context_.counters.CountRetry(end.reason);
  return true;
}

// Some requests crash every target that runs them, and their callers send them
// again, to any entry.
bool traffic_dispatcher::PassesQuarantine() {
  switch (context_.quarantine.DecisionFor(request_.fingerprint)) {
    case quarantine_decision::kUnrestricted:
    case quarantine_decision::kIsolate:
      return true;
    case quarantine_decision::kWait:
      FinishWithoutAttempt(result_code::kSuspectRunning, kSuspectRetryAfter);
      return false;
    case quarantine_decision::kQuarantined:
      break;
  }
  FinishWithoutAttempt(result_code::kCrashesTargets,
                       context_.quarantine.RefusedFor(request_.fingerprint));
  return false;
}

target_exchange_end traffic_dispatcher::Exchange(const live_target& target) {
  const auto process = ProcessNameOf(target);
  const auto sent_at = context_.clock.now();
  auto& quarantine = context_.quarantine;
  quarantine.AttemptStarted(request_.fingerprint, process);
  auto end = target_sender(context_, request_, caller_, sink_)
                 .Send(target, ChooseConnection());
  quarantine.AttemptFinished(request_.fingerprint, process, OutcomeOf(end),
                             context_.clock.now() - sent_at);
  if (end.attempt.notice) {
    if (target.started_ms != 0 || context_.settings.has_process_ids)
      quarantine.TargetResponded(process, sent_at);
    context_.notices.OnResponse(target, *end.attempt.notice, sent_at);
  }
  return end;
}

// A permit covers one run. The next attempt reuses it if no target can have run
// the request, and takes a new one otherwise.
bool traffic_dispatcher::TakePermit() {
  if (permit_ || request_.team == nullptr || !request_.team->limit.IsSet())
    return true;
  const auto permit = context_.limiter.Take(request_.team->name);
  if (permit.decision.granted) {
    permit_ = permit;
    return true;
  }
  log_.PermitRefusal(permit);
  FinishWithoutAttempt(result_code::kTeamLimitReached,
                       permit.decision.retry_after);
  return false;
}

// The target's response to a request that is sent now may come as late as the
// request's deadline, which the process must live to see.
bool traffic_dispatcher::CanKeep() const {
  return context_.state.stop.CanKeep(request_.deadline);
}

// The key may be revoked while a long body arrives or an attempt runs.
bool traffic_dispatcher::IsApiKeyValid() const {
  if (request_.team == nullptr)
    return true;
  const auto manifest = context_.state.manifest();
  if (manifest == request_.manifest)
    return true;
  const auto* team = manifest->FindTeamByApiKey(request_.api_key);
  return team != nullptr && team->name == request_.team->name;
}

void traffic_dispatcher::CountArrival(const target_exchange_end& end) {
  const auto cause = arrivals_.OnSent(end.sent);
  if (end.sent.may_have_run)
    permit_.reset();
  if (!end.sent.arrived)
    return;
  const auto name = NameOf(kArrivalCauseNames, cause);
  context_.counters.Count(
      "target_arrivals_total",
      fmt::format("service=\"{}\",cause=\"{}\"", placer_.service(), name));
  if (cause == arrival_cause::kFirst)
    return;
  Log(log_level::kInfo, "repeated-arrival",
      {{"request", request_.id},
       {"service", placer_.service()},
       {"target", progress_.last_target},
       {"cause", name},
       {"path", NameOf(kTargetPathNames, end.path)}});
}

void traffic_dispatcher::ReportAttemptEnd(const placed_request& placed,
                                          const target_exchange_end& end) {
  const auto pause = placer_.OnAttemptEnd(placed, EvidenceOf(placed, end));
  context_.counters.Count(
      "attempts_total",
      fmt::format("result=\"{}\"",
                  NameOf(kAttemptResultNames, end.attempt.result)));
  log_.Attempt(placed, end, progress_);
  if (pause > milliseconds{0}) {
    Log(log_level::kWarning, "target-ejected",
        {{"request", request_.id},
         {"service", placer_.service()},
         {"target", progress_.last_target},
         {"pause_ms", pause.count()}});
  }
}

// What hangs or breaks on this entry's own links says nothing about the target.
// The key's owner would leave sound targets alone for the whole region, or take
// them for slow.
attempt_end traffic_dispatcher::EvidenceOf(
    const placed_request& placed,
    const target_exchange_end& end) const {
  auto evidence = end.attempt;
  const auto& target = std::get<placed_attempt>(placed.decision).target;
  // Nor does the end of a connection that the target may have closed long ago.
  if (end.sent.may_have_been_stale)
    evidence.result = attempt_result::kNotSent;
  const bool has_response = evidence.report || evidence.notice || end.response;
  const bool failed = evidence.result == attempt_result::kTimedOut ||
                      evidence.result == attempt_result::kLost;
  if (failed && !has_response && end.path == target_path::kDirect &&
      context_.links.IsLinkSuspect(target))
    evidence.result = attempt_result::kNotSent;
  return evidence;
}

// A request that must not be repeated is retried only if a statement of the
// target or a failure to connect proves that it did not run. Whatever may reach
// a target once more is paid for from a budget that all entries share.
bool traffic_dispatcher::MayRetry(const target_exchange_end& end) {
  if (end.streamed || !request_.body.CanBeSent() || !CanKeep() ||
      end.reason == result_code::kCallerGone ||
      end.reason == result_code::kDeadlineExceeded ||
      end.reason == result_code::kUnsendableHead)
    return false;
  if (end.response && end.attempt.result != attempt_result::kTargetError)
    return false;
  if (arrivals_.may_have_run() && !request_.route->idempotent)
    return false;
  const auto now = context_.clock.now();
  if (progress_.attempts >= kMaxAttempts ||
      arrivals_.runs() >= request_.route->max_attempts ||
      request_.deadline - now < kMinAttemptTime || caller_.IsDisconnected())
    return false;
  return WithRetries([&](auto& retries, const auto& bound, const auto& share) {
    return arrivals_.PayForNext(retries, bound, share, now);
  });
}

connection_use traffic_dispatcher::ChooseConnection() {
  const bool may_retry =
      WithRetries([&](auto& retries, const auto& bound, const auto& share) {
        return retries.HasRoom(bound, share, context_.clock.now());
      });
  return arrivals_.NextConnection(request_.route->max_attempts, may_retry);
}

template <typename F>
bool traffic_dispatcher::WithRetries(F use) {
  const auto entries = context_.state.entries().Get();
  const auto bounds = context_.state.bounds();
  return context_.shards.WithService(placer_.service(), [&](auto& shard) {
    return use(shard.retries, bounds->retries, entries->retries);
  });
}

// Ends the request without a further attempt: forwards the error response of an
// earlier attempt if there is one, and refuses the request otherwise.
void traffic_dispatcher::FinishWithoutAttempt(result_code code,
                                              milliseconds retry_after) {
  if (failure_)
    Finish({.response = std::move(failure_)});
  else
    Refuse(code, retry_after);
}

void traffic_dispatcher::Finish(target_exchange_end end) {
  if (end.streamed || end.reason == result_code::kCallerGone) {
    log_.Outcome(end.reason, end.streamed_status, progress_);
    if (!end.streamed)
      sink_.Abort();
    return;
  }
  if (!end.response && failure_)
    end.response = std::move(failure_);
  if (end.response) {
    log_.Outcome(result_code::kOk, end.response->head.getStatus(), progress_);
    SendBuffered(sink_, *end.response, response_status{});
    return;
  }
  Refuse(end.reason, kFailureRetryAfter);
}

// A status that states that the request did not run is sent only if no attempt
// can have run it.
void traffic_dispatcher::Refuse(result_code code, milliseconds retry_after) {
  if (arrivals_.may_have_run() && code == result_code::kRequestTooSlow)
    code = result_code::kDeadlineExceeded;
  else if (arrivals_.may_have_run() && code == result_code::kEntryLeaving)
    code = result_code::kCutByStop;
  else if (arrivals_.may_have_run() && ImpliesNotRun(code))
    code = result_code::kTargetFailed;
  else if (!arrivals_.may_have_run() && code == result_code::kDeadlineExceeded)
    code = result_code::kQueueExpired;
  context_.counters.CountRefusal(code);
  log_.Outcome(code, InfoOf(code).http_status, progress_);
  sink_.Refuse({.code = code,
                .run = arrivals_.may_have_run() ? run_state::kUnknown
                                                : run_state::kNotRun,
                .config_version = request_.manifest->version(),
                .retry_after = retry_after,
                .fractional_retry_after = true});
}

}  // namespace samphire
