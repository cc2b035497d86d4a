#include "traffic/placing/placement_server.h"

#include <string>
#include <utility>

#include "base/log.h"

namespace samphire {

namespace {

// Added to the time left of a request to obtain the expiry of its lease: the
// attempt ends by the request's deadline, and the report of its end arrives
// slightly later.
constexpr milliseconds kLeaseMargin{1000};

placement_criteria CriteriaOf(const remote_placement_request& query) {
  return {.route = query.route,
          .key_hash = query.key_hash,
          .body_bytes = query.body_bytes,
          .objective = milliseconds(query.objective_ms),
          .time_left = milliseconds(query.time_left_ms),
          .home_regions = query.home_regions,
          .for_region = true,
          .excluded = query.excluded};
}

remote_placement_response ResponseOf(const placed_attempt& placed) {
  constexpr milliseconds kNeverReported{-1};
  return {.verdict = remote_placement_verdict::kPlaced,
          .target = placed.target.id,
          .knows_key = static_cast<std::uint8_t>(placed.knows_key ? 1 : 0),
          .load_before = static_cast<float>(placed.load_before),
          .load_age_ms = static_cast<std::int32_t>(
              placed.load_age.value_or(kNeverReported).count())};
}

remote_placement_response ResponseOf(const placement_refusal& refusal) {
  return {
      .verdict = remote_placement_verdict::kRefused,
      .reason = static_cast<std::uint16_t>(refusal.reason),
      .retry_after_ms = static_cast<std::uint32_t>(refusal.retry_after.count()),
      .candidates = static_cast<std::uint32_t>(refusal.candidates),
      .wait_ms = static_cast<std::uint32_t>(refusal.wait.count())};
}

attempt_end EndOf(const remote_placement_end& end_report) {
  attempt_end end{.result = end_report.result,
                  .took = microseconds(end_report.took_us),
                  .body_bytes = end_report.body_bytes};
  if (end_report.reported != 0) {
    end.report = target_report{.running = end_report.running,
                               .waiting = end_report.waiting,
                               .slots = end_report.slots};
  }
  return end;
}

}  // namespace

placement_server::placement_server(peer_transport& transport,
                                   traffic_context& context)
    : transport_(transport), context_(context) {
  transport_.OnMessage(
      message_kind::kPlacementRequest,
      [this](const peer_message& message) { OnRequest(message); });
  transport_.OnMessage(message_kind::kPlacementEnd,
                       [this](const peer_message& message) { OnEnd(message); });
}

placement_server::~placement_server() {
  transport_.OnMessage(message_kind::kPlacementRequest, nullptr);
  transport_.OnMessage(message_kind::kPlacementEnd, nullptr);
}

void placement_server::OnRequest(const peer_message& message) {
  const auto query = DecodeBinary<remote_placement_request>(message.payload);
  if (!query) {
    context_.counters.Count("placing_malformed_total");
    return;
  }
  auto response =
      MakeResponse(*query, {message.sender, message.incarnation, query->id});
  response.id = query->id;
  const auto sent = transport_.Send(
      message.from, message_kind::kPlacementResponse, EncodeBinary(response));
  if (!sent)
    context_.counters.CountRetry(sent.error().code);
}

remote_placement_response placement_server::MakeResponse(
    const remote_placement_request& query,
    const lease_holder& holder) {
  const auto manifest = context_.state.manifest();
  const auto targets = context_.state.targets();
  if (!manifest || !targets)
    return {};
  const auto now = context_.clock.now();
  const auto& self = context_.settings.place;
  const auto entries = context_.state.entries().Get();
  const auto* service = manifest->FindService(query.service);
  const auto criteria = CriteriaOf(query);
  return context_.shards.WithService(
      query.service, [&](service_shard& shard) -> remote_placement_response {
        shard.ReleaseExpired(service, now);
        const bool elsewhere = query.failure_domain != self.failure_domain;
        if (!shard.leases.HasFreeCapacity() ||
            (elsewhere && shard.tracker.KeepsInDomain(criteria)))
          return {};
        const auto placed =
            shard.tracker.Place(criteria, *targets, service, query.service,
                                self, entries->settled_region_members, now);
        if (const auto* attempt = std::get_if<placed_attempt>(&placed)) {
          shard.leases.Grant(holder, {criteria, *attempt,
                                      now + criteria.time_left + kLeaseMargin});
        }
        return std::visit([](const auto& each) { return ResponseOf(each); },
                          placed);
      });
}

void placement_server::OnEnd(const peer_message& message) {
  const auto end_report = DecodeBinary<remote_placement_end>(message.payload);
  if (!end_report) {
    context_.counters.Count("placing_malformed_total");
    return;
  }
  const auto manifest = context_.state.manifest();
  const auto* service =
      manifest ? manifest->FindService(end_report->service) : nullptr;
  const lease_holder holder{message.sender, message.incarnation,
                            end_report->id};
  std::string target;
  milliseconds pause{0};
  context_.shards.WithService(end_report->service, [&](service_shard& shard) {
    const auto lease = shard.leases.Take(holder);
    if (!lease)
      return;
    target = lease->attempt.target.id;
    pause =
        shard.tracker.Ended(lease->request, lease->attempt, EndOf(*end_report),
                            service, context_.clock.now());
  });
  if (pause > milliseconds{0}) {
    Log(log_level::kWarning, "target-ejected",
        {{"service", end_report->service},
         {"target", target},
         {"pause_ms", pause.count()}});
  }
}

}  // namespace samphire
