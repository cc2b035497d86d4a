#include "traffic/placing/request_placer.h"

#include <algorithm>
#include <utility>

#include "routing/key_owner.h"

namespace samphire {

namespace {

// Upper bound on the requests for permits of one attempt that are refused.
// After that, only targets without a limit are considered.
constexpr int kMaxPermitRefusals = 4;
// Lower bound on the time for which a target is left alone after it had no
// permit, so that a service with many requests does not ask for each of them.
constexpr milliseconds kMinPermitPause{20};
// Time for which a target is left alone that could not be reached directly nor
// through other entries.
constexpr milliseconds kNotSentPause{500};

}  // namespace

request_placer::request_placer(traffic_context& context,
                               const traffic_request& request,
                               std::string service)
    : context_(context), request_(request), service_(std::move(service)) {
  const auto& route = *request.route;
  criteria_.route = route.name;
  criteria_.key_hash = request.key_hash;
  criteria_.body_bytes = request.body.known_bytes();
  criteria_.objective = route.latency_objective;
  criteria_.home_regions = request.home_regions;
}

// A target whose permits are used up is left out like one that is full, so that
// other targets serve what it does not take.
placed_request request_placer::Place() {
  milliseconds retry_after{0};
  for (int refusals = 0; refusals < kMaxPermitRefusals; ++refusals) {
    auto placed = PlaceOnce();
    const auto* attempt = std::get_if<placed_attempt>(&placed.decision);
    if (attempt == nullptr)
      return placed;
    const auto permit = context_.target_limits.Take(attempt->target);
    if (permit.granted)
      return placed;
    OnAttemptEnd(placed, {.result = attempt_result::kCallerGone});
    retry_after = std::max(permit.retry_after, kMinPermitPause);
    Pause(attempt->target, context_.clock.now() + retry_after);
  }
  auto placed = PlaceAtUnlimited();
  if (auto* refusal = std::get_if<placement_refusal>(&placed.decision))
    *refusal = {.reason = result_code::kTargetsPaused,
                .retry_after = retry_after};
  return placed;
}

placed_request request_placer::PlaceAtUnlimited() {
  const auto tried = criteria_.excluded;
  const auto targets = context_.state.targets();
  for (const auto& target : targets->OfService(service_)) {
    if (context_.target_limits.IsLimited(target))
      criteria_.excluded.push_back(target.id);
  }
  auto placed = PlaceOnce();
  criteria_.excluded = tried;
  return placed;
}

void request_placer::Pause(const live_target& target, time_point until) {
  context_.shards.WithService(
      service_, [&](auto& shard) { shard.tracker.Pause(target, until); });
}

placed_request request_placer::PlaceOnce() {
  criteria_.time_left = std::chrono::floor<milliseconds>(request_.deadline -
                                                         context_.clock.now());
  const auto targets = context_.state.targets();
  const auto entries = context_.state.entries().Get();
  auto placed = PlaceByOwner(*targets, *entries);
  const char* by = placed ? "by=\"owner\"" : "by=\"self\"";
  context_.counters.Count("placings_total", by);
  return placed ? std::move(*placed) : PlaceLocally(*targets, *entries);
}

// Serves fleets of many entries that each receive few of the requests for a
// key. An entry would then use a target once in half a minute: its view of the
// queue there would be outdated, it would take every key for a new one, and
// requests would wait at a full target while others are idle. One entry of the
// region that places all requests for a key knows the load at the targets and
// which of them has the key in memory.
std::optional<placed_request> request_placer::PlaceByOwner(
    const target_set& targets,
    const entry_list& entries) {
  criteria_.for_region = false;
  if (context_.settings.disabled_mechanisms.contains(
          placement_mechanism::kKeyOwner) ||
      criteria_.home_regions.size() > kMaxHomeRegions ||
      criteria_.excluded.size() > kMaxExcludedTargets)
    return std::nullopt;
  const auto owner = KeyOwner(criteria_.key_hash, entries.names);
  if (!owner)
    return std::nullopt;
  const bool is_domain_local = context_.shards.WithService(
      service_,
      [&](auto& shard) { return shard.tracker.KeepsInDomain(criteria_); });
  if (is_domain_local)
    return std::nullopt;
  criteria_.for_region =
      entries.names[*owner] == context_.settings.place.instance;
  if (criteria_.for_region)
    return std::nullopt;
  const auto& address = entries.peer_addresses[*owner];
  const auto request = BuildRequest(targets);
  const auto response =
      context_.remote_placement.RequestPlacement(address, request);
  if (!response)
    return std::nullopt;
  // Pauses of the owner don't bind this entry, and the owner does not know when
  // the targets left out here can be used again.
  const bool has_pauses =
      request.excluded.size() > criteria_.excluded.size() ||
      ResultCodeOf(response->reason) == result_code::kTargetsPaused;
  if (response->verdict == remote_placement_verdict::kRefused && has_pauses)
    return std::nullopt;
  auto decision = PlacementFrom(*response, targets);
  if (decision)
    return placed_request{.decision = std::move(*decision),
                          .owner = entries.names[*owner],
                          .owner_address = address,
                          .lease_id = response->id};
  if (response->verdict == remote_placement_verdict::kPlaced) {
    context_.remote_placement.ReportEnd(
        address, service_, response->id,
        {.result = attempt_result::kCallerGone});
  }
  return std::nullopt;
}

// The targets that this entry must leave alone are its own matter: the owner
// may use them for others.
std::vector<std::string> request_placer::TargetsToExclude(
    const target_set& targets) const {
  auto excluded = criteria_.excluded;
  const auto now = context_.clock.now();
  context_.shards.WithService(service_, [&](auto& shard) {
    if (!shard.tracker.HasPauses(now))
      return;
    for (const auto& target : targets.OfService(service_)) {
      if (excluded.size() < kMaxExcludedTargets &&
          shard.tracker.IsPaused(target, now) &&
          std::ranges::find(excluded, target.id) == excluded.end())
        excluded.push_back(target.id);
    }
  });
  return excluded;
}

remote_placement_request request_placer::BuildRequest(
    const target_set& targets) const {
  return {
      .service = service_,
      .route = criteria_.route,
      .failure_domain = context_.settings.place.failure_domain,
      .key_hash = criteria_.key_hash,
      .body_bytes = criteria_.body_bytes,
      .objective_ms = static_cast<std::uint32_t>(criteria_.objective.count()),
      .time_left_ms = static_cast<std::uint32_t>(
          std::max(milliseconds{0}, criteria_.time_left).count()),
      .home_regions = criteria_.home_regions,
      .excluded = TargetsToExclude(targets)};
}

// The owner's list of targets may be older than this entry's. A target that has
// been removed or closed to new work here since then is not used.
std::optional<placement_result> request_placer::PlacementFrom(
    const remote_placement_response& response,
    const target_set& targets) const {
  if (response.verdict == remote_placement_verdict::kRefused) {
    return placement_refusal{
        .reason = ResultCodeOf(response.reason)
                      .value_or(result_code::kNoTargetAvailable),
        .retry_after = milliseconds(response.retry_after_ms),
        .candidates = response.candidates,
        .wait = milliseconds(response.wait_ms)};
  }
  if (response.verdict != remote_placement_verdict::kPlaced)
    return std::nullopt;
  const auto& known = targets.OfService(service_);
  const auto target =
      std::ranges::find(known, response.target, &live_target::id);
  if (target == known.end() || !targets.IsOpen(*target))
    return std::nullopt;
  const bool paused = context_.shards.WithService(service_, [&](auto& shard) {
    return shard.tracker.IsPaused(*target, context_.clock.now());
  });
  if (paused)
    return std::nullopt;
  placed_attempt attempt{.target = *target,
                         .knows_key = response.knows_key != 0,
                         .load_before = response.load_before};
  if (response.load_age_ms >= 0)
    attempt.load_age = milliseconds(response.load_age_ms);
  return attempt;
}

placed_request request_placer::PlaceLocally(const target_set& targets,
                                            const entry_list& entries) {
  const auto now = context_.clock.now();
  return context_.shards.WithService(service_, [&](auto& shard) {
    shard.ReleaseExpired(ServiceConfig(), now);
    return placed_request{
        .decision = shard.tracker.Place(criteria_, targets, ServiceConfig(),
                                        service_, context_.settings.place,
                                        entries.settled_region_members, now)};
  });
}

milliseconds request_placer::OnAttemptEnd(const placed_request& placed,
                                          const attempt_end& end) {
  if (!placed.owner.empty()) {
    context_.remote_placement.ReportEnd(placed.owner_address, service_,
                                        placed.lease_id, end);
    return milliseconds{0};
  }
  const auto& attempt = std::get<placed_attempt>(placed.decision);
  return context_.shards.WithService(service_, [&](auto& shard) {
    return shard.tracker.Ended(criteria_, attempt, end, ServiceConfig(),
                               context_.clock.now());
  });
}

void request_placer::LeaveAlone(const live_target& target) {
  Pause(target, context_.clock.now() + kNotSentPause);
}

void request_placer::Exclude(const std::string& target) {
  criteria_.excluded.push_back(target);
}

const traffic_service* request_placer::ServiceConfig() const {
  return request_.manifest->FindService(service_);
}

}  // namespace samphire
