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

// What a region outside the plan counts for, so that its targets are the last
// choice but a choice.
constexpr double kUnplanned = 1e-3;

// A later choice must promise this much less time than an earlier one: two
// entries whose views differ a little should still choose alike.
constexpr double kWorthMoving = 0.6;

// A target that doesn't know the key is a way out only while at most this share
// of its slots is taken, by this request too. Work without the key takes three
// times as long; given to targets that are busy, it makes their own keys wait
// and pushes them out of memory, and an overload of a second lasts for minutes.
constexpr double kIdleShare = 0.5;

// Entries of its region that may send to a cold target. Bound to few, their
// sum holds without talk: each has a fixed share.
constexpr std::size_t kColdSenders = 3;
// Of the rate that a cold target bears, what all senders together use.
constexpr double kColdUse = 0.9;

// A refused caller is told to wait at least this long: the time in which a
// queue of a few requests empties.
constexpr milliseconds kLeastRetryAfter{150};
constexpr milliseconds kNoTargetRetryAfter{500};

template <typename T>
bool Contains(const std::vector<T>& all, const T& one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

std::map<std::string, double> UseAll(const region_room& room) {
  std::map<std::string, double> factors;
  for (const auto& [region, slots] : room)
    factors[region] = 1;
  return factors;
}

double ShareOf(const std::map<std::string, double>& plan,
               const std::string& place) {
  const auto share = plan.find(place);
  return share == plan.end() ? 0 : share->second;
}

}  // namespace

placing service_tracker::Place(const placing_request& request,
                               const target_set& targets,
                               const traffic_service* service,
                               std::string_view service_name,
                               const entry_place& self,
                               const std::vector<std::string>& region_entries,
                               time_point now) {
  Follow(targets, service, service_name, self, now);
  CountPeers(request, region_entries);
  const auto candidates =
      Candidates(request, service, self, region_entries, now);
  if (candidates.empty()) {
    return placing_refusal{.reason = result_code::kNoTargetAvailable,
                           .retry_after = kNoTargetRetryAfter};
  }
  const candidate* chosen = nullptr;
  forecast best;
  forecast nearest{.wait_ms = std::numeric_limits<double>::infinity()};
  for (const auto& each : candidates) {
    const bool first = &each == &candidates.front();
    const auto outlook = Forecast(each, request, now);
    if (!first && !outlook.knows_key && !outlook.idle &&
        Uses(placing_mechanism::kIdleShare))
      continue;
    if (outlook.wait_ms < nearest.wait_ms)
      nearest = outlook;
    if (!IsInTime(outlook, request))
      continue;
    if (chosen == nullptr ||
        outlook.finish_ms() < kWorthMoving * best.finish_ms()) {
      chosen = &each;
      best = outlook;
    }
  }
  if (chosen == nullptr)
    return Full(nearest, candidates.size(), request);
  return Start(*chosen, best, now);
}

// Each entry of a region has keys of its own, about as many as this one, and
// they spread over the same targets.
void service_tracker::CountPeers(
    const placing_request& request,
    const std::vector<std::string>& region_entries) {
  peers_ = 0;
  peer_keys_ = 0;
  if (region_entries.empty() || open_.empty() ||
      !Uses(placing_mechanism::kPeerLoad))
    return;
  peers_ = static_cast<double>(region_entries.size()) - 1;
  if (!request.for_region)
    return;
  std::size_t own_keys = 0;
  for (const auto& open : open_)
    own_keys += open.record->key_count();
  peer_keys_ = peers_ * static_cast<double>(own_keys) /
               static_cast<double>(open_.size());
}

// How many times this entry's own work at a target others are likely to have
// there.
double service_tracker::PeersAt(const target_record& record,
                                const placing_request& request) const {
  if (!request.for_region)
    return peers_;
  const auto own_keys = std::max<std::size_t>(1, record.key_count());
  return std::min(peers_, peer_keys_ / static_cast<double>(own_keys));
}

bool service_tracker::KeepsInDomain(const placing_request& request) {
  return Uses(placing_mechanism::kDomainPlan) &&
         RouteOf(request).size.IsLarge(request.body_bytes);
}

// An answer is worth most within its objective. Where even an idle target takes
// longer than that, as all do before they know any key, callers are still
// served: then it is only the queue that must stay short.
double service_tracker::Patience(const forecast& outlook,
                                 const placing_request& request) {
  const double objective = static_cast<double>(request.objective.count());
  return std::max(objective - outlook.service_ms, objective / 2);
}

// A guess is no ground to turn anybody away, or no answer would ever teach
// better: a route that was just added would stay refused for good.
bool service_tracker::IsInTime(const forecast& outlook,
                               const placing_request& request) const {
  if (!Uses(placing_mechanism::kWaitForecast))
    return true;
  const double time_left = static_cast<double>(request.time_left.count());
  return outlook.wait_ms <= Patience(outlook, request) &&
         (!outlook.learned || outlook.finish_ms() < time_left);
}

// The caller is told to come back when the queue that was nearest to being
// short enough will be.
placing_refusal service_tracker::Full(const forecast& nearest,
                                      std::size_t candidates,
                                      const placing_request& request) {
  const double over =
      std::max(0.0, nearest.wait_ms - Patience(nearest, request));
  return {.reason = result_code::kQueueFull,
          .retry_after =
              std::max(kLeastRetryAfter, milliseconds(std::llround(over))),
          .candidates = candidates,
          .wait = milliseconds(std::llround(nearest.wait_ms))};
}

placing service_tracker::Start(const candidate& chosen,
                               const forecast& outlook,
                               time_point now) {
  chosen.record->Started(now);
  return placed_attempt{.target = *chosen.target,
                        .knows_key = outlook.knows_key,
                        .load_before = outlook.load,
                        .load_age = outlook.load_age};
}

milliseconds service_tracker::Ended(const placing_request& request,
                                    const placed_attempt& attempt,
                                    const attempt_end& end,
                                    const traffic_service* service,
                                    time_point now) {
  const auto found = records_.find(attempt.target.id);
  if (found == records_.end())
    return milliseconds{0};
  auto& route = RouteOf(request);
  const double rounds = std::max(
      1.0, (attempt.load_before + 1) / std::max(1U, attempt.target.slots));
  const bool tells = end.result == attempt_result::kAnswered ||
                     end.result == attempt_result::kTimedOut;
  const double expected = route.time.Ms(attempt.knows_key) * rounds;
  const auto pause = found->second.Ended(request.key_hash, end,
                                         tells ? expected : 0, service, now);
  if (end.result == attempt_result::kAnswered) {
    const std::chrono::duration<double, std::milli> took = end.took;
    route.time.Learn(attempt.knows_key,
                     took.count() / rounds / Slowness(found->second));
    if (end.body_bytes > 0)
      route.size.Learn(end.body_bytes);
  }
  return pause;
}

// Records of targets that are gone are dropped with the set that named them.
void service_tracker::Follow(const target_set& targets,
                             const traffic_service* service,
                             std::string_view service_name,
                             const entry_place& self,
                             time_point now) {
  if (followed_.get() == &targets)
    return;
  followed_ = &targets;
  std::set<std::string_view> listed;
  for (const auto& target : targets.OfService(service_name)) {
    records_[target.id].Describe(target, service, now);
    listed.insert(target.id);
  }
  std::erase_if(records_, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
  ListOpen(targets, service_name, self);
}

// What each request needs of every target is looked up once for a set, not for
// each request: look-ups by name would take most of the time of placing.
void service_tracker::ListOpen(const target_set& targets,
                               std::string_view service_name,
                               const entry_place& self) {
  region_room regions;
  domain_room domains;
  for (const auto& target : targets.OfService(service_name)) {
    if (!targets.IsOpen(target))
      continue;
    regions[target.region] += target.slots;
    if (target.region == self.region)
      domains[target.failure_domain] += target.slots;
  }
  const auto region_plan = Uses(placing_mechanism::kRegionPlan)
                               ? PlanRegions(regions, self.region)
                               : UseAll(regions);
  const auto domain_plan = PlanDomains(domains, self.failure_domain,
                                       ShareOf(region_plan, self.region));
  open_.clear();
  for (const auto& target : targets.OfService(service_name)) {
    if (!targets.IsOpen(target))
      continue;
    const double region_share = ShareOf(region_plan, target.region);
    const double domain_share =
        target.region == self.region
            ? ShareOf(domain_plan, target.failure_domain)
            : region_share;
    open_.push_back({.target = &target,
                     .record = &records_[target.id],
                     .domain_share = std::max(kUnplanned, domain_share),
                     .region_share = std::max(kUnplanned, region_share)});
  }
}

std::vector<service_tracker::candidate> service_tracker::Candidates(
    const placing_request& request,
    const traffic_service* service,
    const entry_place& self,
    const std::vector<std::string>& entries,
    time_point now) {
  std::vector<candidate> fit;
  std::vector<candidate> failing;
  for (const auto& open : open_) {
    const auto& target = *open.target;
    auto& record = *open.record;
    const bool at_home = request.home_regions.empty() ||
                         Contains(request.home_regions, target.region);
    if (!at_home || Contains(request.excluded, target.id))
      continue;
    if (!IsFit(record, now) ||
        !MayTakeCold(record, target, service, self, entries, now))
      continue;
    // The rank grows with the weight alone, so one hash serves all orders.
    const double rank = TargetRank(request.key_hash, target.id, target.slots);
    const candidate each{.target = &target,
                         .record = &record,
                         .domain_rank = rank * open.domain_share,
                         .region_rank = rank * open.region_share,
                         .anywhere_rank = rank};
    const bool fails =
        record.fails_in_part() && Uses(placing_mechanism::kPartialFailures);
    (fails ? failing : fit).push_back(each);
  }
  // When most fail in part, avoiding them would only pile all work on the
  // rest, which then fails too.
  if (failing.size() > fit.size())
    fit.insert(fit.end(), failing.begin(), failing.end());
  return Best(std::move(fit), KeepsInDomain(request));
}

// One target a key by the plan of regions, before it one by the plan of domains
// for a large message, and last one of any region for the time when the planned
// ones are full. A target that holds a key in memory takes a third of the time
// for it, so each further target costs three times the work at first and a
// place in its memory.
std::vector<service_tracker::candidate> service_tracker::Best(
    std::vector<candidate> fit,
    bool large) const {
  std::size_t chosen = 0;
  const auto take_best = [&](double candidate::*rank) {
    if (chosen == fit.size())
      return;
    const auto rest = fit.begin() + static_cast<std::ptrdiff_t>(chosen);
    std::iter_swap(rest, std::max_element(rest, fit.end(),
                                          [rank](const auto& a, const auto& b) {
                                            return a.*rank < b.*rank;
                                          }));
    ++chosen;
  };
  if (large)
    take_best(&candidate::domain_rank);
  take_best(&candidate::region_rank);
  if (Uses(placing_mechanism::kOtherTarget))
    take_best(&candidate::anywhere_rank);
  fit.resize(chosen);
  return fit;
}

// A target that starts under full load crashes from it. What it bears is told
// for all entries together, who can't ask each other for every request; so a
// few entries of its region, the same in everyone's eyes, have a share each.
bool service_tracker::MayTakeCold(target_record& record,
                                  const live_target& target,
                                  const traffic_service* service,
                                  const entry_place& self,
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
  const double share = std::floor(service->cold_rate * kColdUse / kColdSenders);
  return static_cast<double>(record.ColdSends(now)) < std::max(1.0, share);
}

bool service_tracker::IsFit(const target_record& record, time_point now) const {
  return Uses(placing_mechanism::kEjection) ? record.IsFit(now)
                                            : !record.misdirected();
}

bool service_tracker::KnowsKey(const target_record& record,
                               std::uint64_t key_hash,
                               time_point now) const {
  return Uses(placing_mechanism::kKeyMemory) && record.KnowsKey(key_hash, now);
}

double service_tracker::Slowness(const target_record& record) const {
  return Uses(placing_mechanism::kSlowness) ? std::max(1.0, record.slowness())
                                            : 1;
}

service_tracker::forecast service_tracker::Forecast(
    const candidate& each,
    const placing_request& request,
    time_point now) {
  const auto& time = RouteOf(request).time;
  const double slots = std::max(1U, each.target->slots);
  const double slowness = Slowness(*each.record);
  const double load = each.record->Load(PeersAt(*each.record, request), now);
  const double ahead = std::max(0.0, load + 1 - slots) / slots;
  const bool knows_key = KnowsKey(*each.record, request.key_hash, now);
  return {.load = load,
          .load_age = each.record->LoadAge(now),
          .wait_ms = Uses(placing_mechanism::kWaitForecast)
                         ? ahead * time.Ms(true) * slowness
                         : 0,
          .service_ms = time.Ms(knows_key) * slowness,
          .learned = time.IsLearned(knows_key),
          .knows_key = knows_key,
          .idle = load + 1 <= kIdleShare * slots};
}

route_record& service_tracker::RouteOf(const placing_request& request) {
  return routes_.try_emplace(request.route, request.objective).first->second;
}

}  // namespace samphire
