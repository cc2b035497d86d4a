#include "routing/service_tracker.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "membership/rendezvous.h"
#include "routing/region_plan.h"
#include "routing/target_rank.h"

namespace samphire {

namespace {

// The share of a region or failure domain outside the plan. It is above zero so
// that targets there remain a last resort.
constexpr double kUnplannedShare = 1e-3;

// A later candidate is chosen only if its finish time is below this fraction of
// the best earlier one's. The margin makes entries with slightly different
// views choose the same target.
constexpr double kMaxFinishTimeRatio = 0.6;

// A target without the key in memory is an alternative only while at most this
// fraction of its slots is in use, including the new request. Requests without
// the key take three times as long; on busy targets they delay the targets' own
// keys and evict them from memory, which can turn an overload of a second into
// one of minutes.
constexpr double kMaxIdleLoadShare = 0.5;

// The number of entries of a region that may send requests to a cold target.
// Each has a fixed share of the target's rate, so the sum is bounded without
// coordination.
constexpr std::size_t kColdSenders = 3;
// The fraction of a cold target's rate that all senders together use.
constexpr double kColdRateUse = 0.9;

// A lower bound on the retry time of refused callers: the time in which a queue
// of a few requests empties.
constexpr milliseconds kMinRetryAfter{150};
constexpr milliseconds kNoTargetRetryAfter{500};

template <typename T>
bool Contains(const std::vector<T>& all, const T& one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

std::map<std::string, double> FullShares(const region_capacity& capacity) {
  std::map<std::string, double> factors;
  for (const auto& [region, slots] : capacity)
    factors[region] = 1;
  return factors;
}

double ShareOf(const std::map<std::string, double>& plan,
               const std::string& place) {
  const auto share = plan.find(place);
  return share == plan.end() ? 0 : share->second;
}

}  // namespace

placement_result service_tracker::Place(
    const placement_criteria& request,
    const target_set& targets,
    const traffic_service* service,
    std::string_view service_name,
    const entry_location& self,
    const std::vector<std::string>& region_entries,
    time_point now) {
  SyncRecords(targets, service, service_name, self, now);
  EstimatePeers(request, region_entries);
  const auto candidates =
      SelectCandidates(request, service, self, region_entries, now);
  if (candidates.empty())
    return NoCandidate(request, now);
  const candidate* chosen = nullptr;
  forecast best;
  forecast shortest{.wait_ms = std::numeric_limits<double>::infinity()};
  for (const auto& each : candidates) {
    const bool first = &each == &candidates.front();
    const auto estimate = Forecast(each, request, now);
    if (!first && !estimate.knows_key && !estimate.idle &&
        IsEnabled(placement_mechanism::kIdleShare))
      continue;
    if (estimate.wait_ms < shortest.wait_ms)
      shortest = estimate;
    if (!IsAcceptable(estimate, request))
      continue;
    if (chosen == nullptr ||
        estimate.finish_ms() < kMaxFinishTimeRatio * best.finish_ms()) {
      chosen = &each;
      best = estimate;
    }
  }
  if (chosen == nullptr)
    return QueueFull(shortest, candidates.size(), request);
  return StartAttempt(*chosen, best, now);
}

// Assumes that each entry of the region has about as many keys of its own as
// this entry, spread over the same targets.
void service_tracker::EstimatePeers(
    const placement_criteria& request,
    const std::vector<std::string>& region_entries) {
  peers_ = 0;
  peer_keys_ = 0;
  if (region_entries.empty() || open_targets_.empty() ||
      !IsEnabled(placement_mechanism::kPeerLoad))
    return;
  peers_ = static_cast<double>(region_entries.size()) - 1;
  if (!request.for_region)
    return;
  std::size_t own_keys = 0;
  for (const auto& open : open_targets_)
    own_keys += open.record->key_count();
  peer_keys_ = peers_ * static_cast<double>(own_keys) /
               static_cast<double>(open_targets_.size());
}

// Returns the expected load of other entries at a target as a multiple of this
// entry's own load there.
double service_tracker::PeerFactor(const target_record& record,
                                   const placement_criteria& request) const {
  if (!request.for_region)
    return peers_;
  const auto own_keys = std::max<std::size_t>(1, record.key_count());
  return std::min(peers_, peer_keys_ / static_cast<double>(own_keys));
}

bool service_tracker::KeepsInDomain(const placement_criteria& request) {
  return IsEnabled(placement_mechanism::kDomainPlan) &&
         EstimatesFor(request).size.IsLarge(request.body_bytes);
}

// A response has its full value within the objective. If even an idle target
// takes longer, as every target does before it has any key in memory, callers
// are still served. In that case only the queue is bounded, by half of the
// objective.
double service_tracker::MaxQueueWaitMs(const forecast& estimate,
                                       const placement_criteria& request) {
  const double objective = static_cast<double>(request.objective.count());
  return std::max(objective - estimate.service_ms, objective / 2);
}

// An estimate without samples is no reason to refuse a request. Otherwise no
// response would ever be measured, and a newly added route could be refused
// forever.
bool service_tracker::IsAcceptable(const forecast& estimate,
                                   const placement_criteria& request) const {
  if (!IsEnabled(placement_mechanism::kWaitForecast))
    return true;
  const double time_left = static_cast<double>(request.time_left.count());
  return estimate.wait_ms <= MaxQueueWaitMs(estimate, request) &&
         (!estimate.measured || estimate.finish_ms() < time_left);
}

// Derives the caller's retry time from the time in which the shortest queue
// becomes acceptable.
placement_refusal service_tracker::QueueFull(
    const forecast& shortest,
    std::size_t candidates,
    const placement_criteria& request) {
  const double over =
      std::max(0.0, shortest.wait_ms - MaxQueueWaitMs(shortest, request));
  return {
      .reason = result_code::kQueueFull,
      .retry_after = std::max(kMinRetryAfter, milliseconds(std::llround(over))),
      .candidates = candidates,
      .wait = milliseconds(std::llround(shortest.wait_ms))};
}

placement_result service_tracker::StartAttempt(const candidate& chosen,
                                               const forecast& estimate,
                                               time_point now) {
  chosen.record->Started(now);
  return placed_attempt{.target = *chosen.target,
                        .knows_key = estimate.knows_key,
                        .load_before = estimate.load,
                        .load_age = estimate.load_age};
}

milliseconds service_tracker::Ended(const placement_criteria& request,
                                    const placed_attempt& attempt,
                                    const attempt_end& end,
                                    const traffic_service* service,
                                    time_point now) {
  const auto found = records_.find(attempt.target.id);
  if (found == records_.end())
    return milliseconds{0};
  auto& route = EstimatesFor(request);
  const double rounds = std::max(
      1.0, (attempt.load_before + 1) / std::max(1U, attempt.target.slots));
  const bool informative = end.result == attempt_result::kAnswered ||
                           end.result == attempt_result::kTimedOut;
  const double expected = route.time.Ms(attempt.knows_key) * rounds;
  const auto pause = found->second.Ended(
      request.key_hash, end, informative ? expected : 0, service, now);
  if (end.result == attempt_result::kAnswered) {
    const std::chrono::duration<double, std::milli> took = end.took;
    route.time.AddSample(attempt.knows_key,
                         took.count() / rounds / Slowness(found->second));
    if (end.body_bytes > 0)
      route.size.AddSample(end.body_bytes);
  }
  return pause;
}

// Drops the records of targets that are no longer in the set.
void service_tracker::SyncRecords(const target_set& targets,
                                  const traffic_service* service,
                                  std::string_view service_name,
                                  const entry_location& self,
                                  time_point now) {
  if (synced_set_.get() == &targets)
    return;
  synced_set_ = &targets;
  std::set<std::string_view> listed;
  for (const auto& target : targets.OfService(service_name)) {
    records_[target.id].Describe(target, service, now);
    listed.insert(target.id);
  }
  std::erase_if(records_, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  RebuildOpenTargets(targets, service_name, self);
}

// Computes the data that every request needs of every target once per set
// instead of once per request. Lookups by name would otherwise take most of the
// time of a placement.
void service_tracker::RebuildOpenTargets(const target_set& targets,
                                         std::string_view service_name,
                                         const entry_location& self) {
  region_capacity regions;
  domain_capacity domains;
  for (const auto& target : targets.OfService(service_name)) {
    if (!targets.IsOpen(target))
      continue;
    regions[target.region] += target.slots;
    if (target.region == self.region)
      domains[target.failure_domain] += target.slots;
  }
  const auto region_plan = IsEnabled(placement_mechanism::kRegionPlan)
                               ? PlanRegions(regions, self.region)
                               : FullShares(regions);
  const auto domain_plan = PlanDomains(domains, self.failure_domain,
                                       ShareOf(region_plan, self.region));
  open_targets_.clear();
  for (const auto& target : targets.OfService(service_name)) {
    if (!targets.IsOpen(target))
      continue;
    const double region_share = ShareOf(region_plan, target.region);
    const double domain_share =
        target.region == self.region
            ? ShareOf(domain_plan, target.failure_domain)
            : region_share;
    open_targets_.push_back(
        {.target = &target,
         .record = &records_[target.id],
         .domain_share = std::max(kUnplannedShare, domain_share),
         .region_share = std::max(kUnplannedShare, region_share)});
  }
}

std::vector<service_tracker::candidate> service_tracker::SelectCandidates(
    const placement_criteria& request,
    const traffic_service* service,
    const entry_location& self,
    const std::vector<std::string>& entries,
    time_point now) {
  std::vector<candidate> eligible;
  std::vector<candidate> failing;
  for (const auto& open : open_targets_) {
    const auto& target = *open.target;
    auto& record = *open.record;
    if (!IsAllowed(request, target) || IsPaused(target, now))
      continue;
    if (!IsEligible(record, now) ||
        !MaySendIfCold(record, target, service, self, entries, now))
      continue;
    // The rank is linear in the weight, so one hash is enough for all three
    // orders.
    const double rank = TargetRank(request.key_hash, target.id, target.slots);
    const candidate each{.target = &target,
                         .record = &record,
                         .domain_rank = rank * open.domain_share,
                         .region_rank = rank * open.region_share,
                         .unweighted_rank = rank};
    const bool fails = record.fails_partially() &&
                       IsEnabled(placement_mechanism::kPartialFailures);
    (fails ? failing : eligible).push_back(each);
  }
  // If most targets fail a part of their requests, avoiding them would overload
  // the rest, which would then fail too.
  if (failing.size() > eligible.size())
    eligible.insert(eligible.end(), failing.begin(), failing.end());
  return SelectBest(std::move(eligible), KeepsInDomain(request));
}

// Selects one target for the key by the plan of regions. For a large message,
// the best one by the plan of failure domains precedes it. The last one is a
// target of any region, for use when the planned ones are full. A target that
// has a key in memory takes a third of the time for it, so each further target
// costs three times the work at first and space in its memory.
std::vector<service_tracker::candidate> service_tracker::SelectBest(
    std::vector<candidate> eligible,
    bool large) const {
  std::size_t chosen = 0;
  const auto take_best = [&](double candidate::*rank) {
    if (chosen == eligible.size())
      return;
    const auto rest = eligible.begin() + static_cast<std::ptrdiff_t>(chosen);
    std::iter_swap(rest, std::max_element(rest, eligible.end(),
                                          [rank](const auto& a, const auto& b) {
                                            return a.*rank < b.*rank;
                                          }));
    ++chosen;
  };
  if (large)
    take_best(&candidate::domain_rank);
  take_best(&candidate::region_rank);
  if (IsEnabled(placement_mechanism::kOtherTarget))
    take_best(&candidate::unweighted_rank);
  eligible.resize(chosen);
  return eligible;
}

// A target that starts under full load can crash. The rate that it bears is
// declared for all entries together, which can't coordinate for every request.
// Therefore a few entries of its region, selected alike by all, have a fixed
// share each.
bool service_tracker::MaySendIfCold(target_record& record,
                                    const live_target& target,
                                    const traffic_service* service,
                                    const entry_location& self,
                                    const std::vector<std::string>& entries,
                                    time_point now) {
  if (!record.IsCold(now))
    return true;
  if (service == nullptr || target.region != self.region)
    return false;
  const auto senders =
      PickByRendezvous("cold " + target.id, entries, kColdSenders);
  if (!Contains(senders, self.instance))
    return false;
  const double share =
      std::floor(service->cold_rate * kColdRateUse / kColdSenders);
  return static_cast<double>(record.ColdSends(now)) < std::max(1.0, share);
}

bool service_tracker::IsAllowed(const placement_criteria& request,
                                const live_target& target) {
  const bool in_home_region = request.home_regions.empty() ||
                              Contains(request.home_regions, target.region);
  return in_home_region && !Contains(request.excluded, target.id);
}

// Tells the caller to return when the first paused target can be used again.
placement_refusal service_tracker::NoCandidate(
    const placement_criteria& request,
    time_point now) const {
  auto first_end = time_point::max();
  for (const auto& open : open_targets_) {
    if (IsAllowed(request, *open.target) && IsPaused(*open.target, now))
      first_end = std::min(first_end, pauses_.PausedUntil(*open.target));
  }
  if (first_end == time_point::max())
    return {.reason = result_code::kNoTargetAvailable,
            .retry_after = kNoTargetRetryAfter};
  return {
      .reason = result_code::kTargetsPaused,
      .retry_after = std::max(
          kMinRetryAfter, std::chrono::ceil<milliseconds>(first_end - now))};
}

bool service_tracker::IsEligible(const target_record& record,
                                 time_point now) const {
  return IsEnabled(placement_mechanism::kEjection) ? record.IsEligible(now)
                                                   : !record.misdirected();
}

bool service_tracker::KnowsKey(const target_record& record,
                               std::uint64_t key_hash,
                               time_point now) const {
  return IsEnabled(placement_mechanism::kKeyMemory) &&
         record.KnowsKey(key_hash, now);
}

double service_tracker::Slowness(const target_record& record) const {
  return IsEnabled(placement_mechanism::kSlowness)
             ? std::max(1.0, record.slowness())
             : 1;
}

service_tracker::forecast service_tracker::Forecast(
    const candidate& each,
    const placement_criteria& request,
    time_point now) {
  const auto& time = EstimatesFor(request).time;
  const double slots = std::max(1U, each.target->slots);
  const double slowness = Slowness(*each.record);
  const double load = each.record->Load(PeerFactor(*each.record, request), now);
  const double ahead = std::max(0.0, load + 1 - slots) / slots;
  const bool knows_key = KnowsKey(*each.record, request.key_hash, now);
  return {.load = load,
          .load_age = each.record->LoadAge(now),
          .wait_ms = IsEnabled(placement_mechanism::kWaitForecast)
                         ? ahead * time.Ms(true) * slowness
                         : 0,
          .service_ms = time.Ms(knows_key) * slowness,
          .measured = time.IsMeasured(knows_key),
          .knows_key = knows_key,
          .idle = load + 1 <= kMaxIdleLoadShare * slots};
}

route_estimates& service_tracker::EstimatesFor(
    const placement_criteria& request) {
  return routes_.try_emplace(request.route, request.objective).first->second;
}

}  // namespace samphire
