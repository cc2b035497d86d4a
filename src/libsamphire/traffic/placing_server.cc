#include "traffic/placing_server.h"

#include <string>
#include <utility>

#include "base/log.h"

namespace samphire {

namespace {

// An attempt ends with its caller's time; the news of it takes a little longer.
constexpr milliseconds kLeaseMargin{1000};

placement_criteria RequestOf(const placing_ask& ask) {
  return {.route = ask.route,
          .key_hash = ask.key_hash,
          .body_bytes = ask.body_bytes,
          .objective = milliseconds(ask.objective_ms),
          .time_left = milliseconds(ask.time_left_ms),
          .home_regions = ask.home_regions,
          .for_region = true,
          .excluded = ask.excluded};
}

placing_answer AnswerOf(const placed_attempt& placed) {
  constexpr milliseconds kNeverTold{-1};
  return {.verdict = placing_verdict::kPlaced,
          .target = placed.target.id,
          .knows_key = static_cast<std::uint8_t>(placed.knows_key ? 1 : 0),
          .load_before = static_cast<float>(placed.load_before),
          .load_age_ms = static_cast<std::int32_t>(
              placed.load_age.value_or(kNeverTold).count())};
}

placing_answer AnswerOf(const placement_refusal& refusal) {
  return {
      .verdict = placing_verdict::kRefused,
      .reason = static_cast<std::uint16_t>(refusal.reason),
      .retry_after_ms = static_cast<std::uint32_t>(refusal.retry_after.count()),
      .candidates = static_cast<std::uint32_t>(refusal.candidates),
      .wait_ms = static_cast<std::uint32_t>(refusal.wait.count())};
}

attempt_end EndOf(const placing_end& told) {
  attempt_end end{.result = told.result,
                  .took = microseconds(told.took_us),
                  .body_bytes = told.body_bytes};
  if (told.reported != 0) {
    end.report = target_report{
        .running = told.running, .waiting = told.waiting, .slots = told.slots};
  }
  return end;
}

}  // namespace

placing_server::placing_server(peer_transport& transport,
                               traffic_context& context)
    : transport_(transport), context_(context) {
  transport_.OnMessage(message_kind::kPlacingAsk,
                       [this](const peer_message& message) { OnAsk(message); });
  transport_.OnMessage(message_kind::kPlacingEnd,
                       [this](const peer_message& message) { OnEnd(message); });
}

placing_server::~placing_server() {
  transport_.OnMessage(message_kind::kPlacingAsk, nullptr);
  transport_.OnMessage(message_kind::kPlacingEnd, nullptr);
}

void placing_server::OnAsk(const peer_message& message) {
  const auto ask = DecodeBinary<placing_ask>(message.payload);
  if (!ask) {
    context_.counters.Count("placing_malformed_total");
    return;
  }
  auto answer = Answer(*ask, {message.sender, message.incarnation, ask->id});
  answer.id = ask->id;
  const auto sent = transport_.Send(message.from, message_kind::kPlacingAnswer,
                                    EncodeBinary(answer));
  if (!sent)
    context_.counters.CountRetry(sent.error().code);
}

placing_answer placing_server::Answer(const placing_ask& ask,
                                      const lease_holder& holder) {
  const auto manifest = context_.state.manifest();
  const auto targets = context_.state.targets();
  if (!manifest || !targets)
    return {};
  const auto now = context_.clock.now();
  const auto& self = context_.settings.place;
  const auto entries = context_.state.entries().Get();
  const auto* service = manifest->FindService(ask.service);
  const auto request = RequestOf(ask);
  return context_.shards.WithService(
      ask.service, [&](service_shard& shard) -> placing_answer {
        shard.ReleaseExpired(service, now);
        const bool elsewhere = ask.failure_domain != self.failure_domain;
        if (!shard.leases.HasFreeCapacity() ||
            (elsewhere && shard.tracker.KeepsInDomain(request)))
          return {};
        const auto placed =
            shard.tracker.Place(request, *targets, service, ask.service, self,
                                entries->region_sharers, now);
        if (const auto* attempt = std::get_if<placed_attempt>(&placed)) {
          shard.leases.Grant(holder, {request, *attempt,
                                      now + request.time_left + kLeaseMargin});
        }
        return std::visit([](const auto& each) { return AnswerOf(each); },
                          placed);
      });
}

void placing_server::OnEnd(const peer_message& message) {
  const auto told = DecodeBinary<placing_end>(message.payload);
  if (!told) {
    context_.counters.Count("placing_malformed_total");
    return;
  }
  const auto manifest = context_.state.manifest();
  const auto* service =
      manifest ? manifest->FindService(told->service) : nullptr;
  const lease_holder holder{message.sender, message.incarnation, told->id};
  std::string target;
  milliseconds pause{0};
  context_.shards.WithService(told->service, [&](service_shard& shard) {
    const auto lease = shard.leases.Take(holder);
    if (!lease)
      return;
    target = lease->attempt.target.id;
    pause = shard.tracker.Ended(lease->request, lease->attempt, EndOf(*told),
                                service, context_.clock.now());
  });
  if (pause > milliseconds{0}) {
    Log(log_level::kWarning, "target-ejected",
        {{"service", told->service},
         {"target", target},
         {"pause_ms", pause.count()}});
  }
}

}  // namespace samphire
