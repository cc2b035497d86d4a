#include "traffic/sending/dispatch_log.h"

#include <chrono>

#include "base/log.h"
#include "traffic/sending/send_log.h"

namespace samphire {

dispatch_log::dispatch_log(const traffic_context& context,
                           const traffic_request& request,
                           const request_placer& placer)
    : context_(context), request_(request), placer_(placer) {}

void dispatch_log::Attempt(const placed_request& placed,
                           const target_exchange_end& end,
                           const dispatch_progress& progress) const {
  const auto& attempt = std::get<placed_attempt>(placed.decision);
  const bool met_objective = end.attempt.result == attempt_result::kAnswered &&
                             end.attempt.took <= placer_.criteria().objective;
  constexpr milliseconds kNoReport{-1};
  Log(met_objective ? log_level::kDebug : log_level::kInfo, "attempt",
      {{"request", request_.id},
       {"target", attempt.target.id},
       {"failure_domain", attempt.target.failure_domain},
       {"number", progress.attempts},
       {"placed_by", placed.owner},
       {"load_before", attempt.load_before},
       {"slots", attempt.target.slots},
       {"load_age_ms", attempt.load_age.value_or(kNoReport).count()},
       {"knows_key", attempt.knows_key},
       {"result", NameOf(kAttemptResultNames, end.attempt.result)},
       {"path", NameOf(kTargetPathNames, end.path)},
       {"fingerprint", std::to_string(request_.fingerprint)},
       {"ms",
        std::chrono::duration<double, std::milli>(end.attempt.took).count()}});
}

void dispatch_log::Outcome(result_code code,
                           int status,
                           const dispatch_progress& progress) const {
  const std::chrono::duration<double, std::milli> took =
      context_.clock.now() - request_.arrived;
  context_.counters.Observe(
      "request_seconds",
      code == result_code::kOk ? "outcome=\"answered\"" : "outcome=\"failed\"",
      std::chrono::duration_cast<duration>(took));
  const auto send = progress.last_send.value_or(send_record{});
  Log(log_level::kInfo, "request",
      {{"request", request_.id},
       {"route", request_.route->name},
       {"service", placer_.service()},
       {"team", request_.team == nullptr ? "" : request_.team->name},
       {"config_version", request_.manifest->version()},
       {"code", static_cast<int>(code)},
       {"result", NameOf(code)},
       {"status", status},
       {"attempts", progress.attempts},
       {"target", progress.last_target},
       {"way", progress.last_send ? NameOf(kSendWayNames, send.way) : "none"},
       {"body_sent", send.body_sent},
       {"body_bytes", LoggedBodyBytes(send)},
       {"listing_era", send.listing.era},
       {"listing_revision", send.listing.revision},
       {"evacuations_era", send.evacuations.position.era},
       {"evacuations_revision", send.evacuations.position.revision},
       {"evacuations_age_ms", AgeForLog(send.evacuations)},
       {"ms", took.count()}});
}

void dispatch_log::PermitRefusal(const team_permit& permit) const {
  Log(log_level::kInfo, "no-permit",
      {{"request", request_.id},
       {"team", request_.team->name},
       {"role", NameOf(kPermitRoleNames, permit.role)},
       {"granted_by", permit.grantor_address},
       {"config_version", request_.manifest->version()},
       {"retry_after_ms", permit.decision.retry_after.count()}});
}

void dispatch_log::NoPlacement(const placement_refusal& refusal,
                               const std::string& owner) const {
  const auto targets = context_.state.targets();
  Log(log_level::kInfo, "no-place",
      {{"request", request_.id},
       {"service", placer_.service()},
       {"reason", NameOf(refusal.reason)},
       {"placed_by", owner},
       {"targets", targets->OfService(placer_.service()).size()},
       {"candidates", refusal.candidates},
       {"wait_ms", refusal.wait.count()},
       {"time_left_ms", placer_.criteria().time_left.count()},
       {"retry_after_ms", refusal.retry_after.count()}});
}

}  // namespace samphire
