#include "traffic/request_placer.h"

#include <algorithm>
#include <utility>

#include "routing/key_owner.h"

namespace samphire {

request_placer::request_placer(traffic_context& context,
                               const traffic_request& request,
                               std::string service)
    : context_(context), request_(request), service_(std::move(service)) {
  const auto& route = *request.route;
  wish_.route = route.name;
  wish_.key_hash = request.key_hash;
  wish_.body_bytes = request.body_bytes();
  wish_.objective = route.latency_objective;
  wish_.home_regions = request.home_regions;
}

placed_request request_placer::Place() {
  wish_.time_left = std::chrono::floor<milliseconds>(request_.deadline -
                                                     context_.clock.now());
  const auto targets = context_.state.targets();
  const auto entries = context_.state.entries().Get();
  auto placed = PlaceByOwner(*targets, *entries);
  const char* by = placed ? "by=\"owner\"" : "by=\"self\"";
  context_.counters.Count("placings_total", by);
  return placed ? std::move(*placed) : PlaceHere(*targets, *entries);
}

// Made for fleets of many entries that each see few of the requests for a key:
// an entry then meets a target once in half a minute, its view of the queue
// there is long out of date, and it takes each key for a new one. It shows as
// keys that wait at a full target while others idle. One entry of the region
// that is asked about every request for a key knows what is in work there, and
// where the key was learned.
std::optional<placed_request> request_placer::PlaceByOwner(
    const target_set& targets,
    const entry_list& entries) {
  wish_.for_region = false;
  if (context_.settings.without.contains(placement_mechanism::kKeyOwner) ||
      wish_.home_regions.size() > kMaxHomes ||
      wish_.excluded.size() > kMaxExcluded)
    return std::nullopt;
  const auto owner = KeyOwner(wish_.key_hash, entries.names);
  if (!owner)
    return std::nullopt;
  const bool stays = context_.shards.WithService(service_, [&](auto& shard) {
    return shard.tracker.KeepsInDomain(wish_);
  });
  if (stays)
    return std::nullopt;
  wish_.for_region = entries.names[*owner] == context_.settings.place.instance;
  if (wish_.for_region)
    return std::nullopt;
  const auto& address = entries.peer_addresses[*owner];
  const auto answer = context_.placings.Ask(address, Ask());
  if (!answer)
    return std::nullopt;
  auto place = Read(*answer, targets);
  if (place)
    return placed_request{.place = std::move(*place),
                          .owner = entries.names[*owner],
                          .owner_address = address,
                          .lease = answer->id};
  if (answer->verdict == placing_verdict::kPlaced) {
    context_.placings.End(address, service_, answer->id,
                          {.result = attempt_result::kCallerGone});
  }
  return std::nullopt;
}

placing_ask request_placer::Ask() const {
  return {.service = service_,
          .route = wish_.route,
          .failure_domain = context_.settings.place.failure_domain,
          .key_hash = wish_.key_hash,
          .body_bytes = wish_.body_bytes,
          .objective_ms = static_cast<std::uint32_t>(wish_.objective.count()),
          .time_left_ms = static_cast<std::uint32_t>(
              std::max(milliseconds{0}, wish_.time_left).count()),
          .home_regions = wish_.home_regions,
          .excluded = wish_.excluded};
}

// The owner's view of the targets may be older than this entry's: what has
// left here since gets nothing more.
std::optional<placement_result> request_placer::Read(
    const placing_answer& answer,
    const target_set& targets) const {
  if (answer.verdict == placing_verdict::kRefused) {
    return placement_refusal{
        .reason = ResultCodeOf(answer.reason)
                      .value_or(result_code::kNoTargetAvailable),
        .retry_after = milliseconds(answer.retry_after_ms),
        .candidates = answer.candidates,
        .wait = milliseconds(answer.wait_ms)};
  }
  if (answer.verdict != placing_verdict::kPlaced)
    return std::nullopt;
  const auto& known = targets.OfService(service_);
  const auto target = std::ranges::find(known, answer.target, &live_target::id);
  if (target == known.end() || !targets.IsOpen(*target))
    return std::nullopt;
  placed_attempt attempt{.target = *target,
                         .knows_key = answer.knows_key != 0,
                         .load_before = answer.load_before};
  if (answer.load_age_ms >= 0)
    attempt.load_age = milliseconds(answer.load_age_ms);
  return attempt;
}

placed_request request_placer::PlaceHere(const target_set& targets,
                                         const entry_list& entries) {
  const auto now = context_.clock.now();
  return context_.shards.WithService(service_, [&](auto& shard) {
    shard.ReleaseExpired(Service(), now);
    return placed_request{
        .place = shard.tracker.Place(wish_, targets, Service(), service_,
                                     context_.settings.place,
                                     entries.region_sharers, now)};
  });
}

milliseconds request_placer::Ended(const placed_request& placed,
                                   const attempt_end& end) {
  if (!placed.owner.empty()) {
    context_.placings.End(placed.owner_address, service_, placed.lease, end);
    return milliseconds{0};
  }
  const auto& attempt = std::get<placed_attempt>(placed.place);
  return context_.shards.WithService(service_, [&](auto& shard) {
    return shard.tracker.Ended(wish_, attempt, end, Service(),
                               context_.clock.now());
  });
}

void request_placer::Exclude(const std::string& target) {
  wish_.excluded.push_back(target);
}

const traffic_service* request_placer::Service() const {
  return request_.manifest->FindService(service_);
}

}  // namespace samphire
