#include "routing/service_tracker.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "membership/rendezvous.h"
#include "routing/target_rank.h"

namespace samphire {

namespace {

// A key has this many targets at most. A target that holds a key in memory
// takes a third of the time for it, so each further target costs three times
// the work at first and pushes another key out of that target's memory. Spread
// wider, an overload feeds itself.
constexpr std::size_t kTargetsPerKey = 2;

// How a target's pull on keys falls with its distance. Bytes between regions
// are dear and take tens of milliseconds; yet a region whose targets are few
// must be able to use the others', so it is no wall.
constexpr double kSameDomain = 1.0;
constexpr double kSameRegion = 1.0;
constexpr double kOtherRegion = 1.0;

// Entries of its region that may send to a cold target. Bound to few, their
// sum holds without talk: each has a fixed share.
constexpr std::size_t kColdSenders = 3;
// Of the rate that a cold target bears, what all senders together use.
constexpr double kColdUse = 0.9;

// A refused caller is told to wait at least this long: the time in which a
// queue of a few requests empties.
constexpr milliseconds kLeastRetryAfter{150};
constexpr milliseconds kNoTargetRetryAfter{500};

double Locality(const live_target& target, const entry_place& self) {
  if (target.failure_domain == self.failure_domain)
    return kSameDomain;
  return target.region == self.region ? kSameRegion : kOtherRegion;
}

template <typename T>
bool Contains(const std::vector<T>& all, const T& one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

}  // namespace

placing service_tracker::Place(const placing_request& request,
                               const target_set& targets,
                               const traffic_service* service,
                               std::string_view service_name,
                               const entry_place& self,
                               const std::vector<std::string>& region_entries,
                               time_point now) {
  Follow(targets, service, service_name, now);
  const auto candidates = Candidates(request, targets, service, service_name,
                                     self, region_entries, now);
  if (candidates.empty()) {
    return placing_refusal{.reason = result_code::kNoTargetAvailable,
                           .retry_after = kNoTargetRetryAfter};
  }
  // An answer is worth most within its objective. Where even an idle target
  // takes longer than that, as all do before they know any key, callers are
  // still served: then it is only the queue that must stay short.
  const double objective = static_cast<double>(request.objective.count());
  const double time_left = static_cast<double>(request.time_left.count());
  const candidate* chosen = nullptr;
  forecast best;
  double shortest_excess = std::numeric_limits<double>::infinity();
  for (const auto& each : candidates) {
    const auto outlook = Forecast(each, request, now);
    const double patience =
        std::max(objective - outlook.service_ms, objective / 2);
    const bool in_time =
        outlook.wait_ms <= patience && outlook.finish_ms() < time_left;
    shortest_excess = std::min(shortest_excess, outlook.wait_ms - patience);
    if (!in_time)
      continue;
    if (chosen == nullptr) {
      chosen = &each;
      best = outlook;
      // The key's own target, in time for the objective: no need to look on.
      if (&each == &candidates.front() && outlook.finish_ms() <= objective)
        break;
    } else if (outlook.finish_ms() < best.finish_ms()) {
      chosen = &each;
      best = outlook;
    }
  }
  if (chosen == nullptr) {
    const auto wait = milliseconds(
        static_cast<std::int64_t>(std::max(0.0, shortest_excess)));
    return placing_refusal{.reason = result_code::kQueueFull,
                           .retry_after = std::max(kLeastRetryAfter, wait)};
  }
  return Start(*chosen, request, now);
}

placing service_tracker::Start(const candidate& chosen,
                               const placing_request& request,
                               time_point now) {
  placed_attempt attempt;
  attempt.target = *chosen.target;
  attempt.knows_key = chosen.record->KnowsKey(request.key_hash, now);
  attempt.load_before = chosen.record->Load(now);
  chosen.record->Started(request.key_hash, now);
  return attempt;
}

void service_tracker::Ended(const placing_request& request,
                            const placed_attempt& attempt,
                            const attempt_end& end,
                            const traffic_service* service,
                            time_point now) {
  const auto found = records_.find(attempt.target.id);
  if (found == records_.end())
    return;
  auto& estimate = EstimateOf(request);
  const double rounds = std::max(
      1.0, (attempt.load_before + 1) / std::max(1U, attempt.target.slots));
  const bool tells = end.result == attempt_result::kAnswered ||
                     end.result == attempt_result::kTimedOut;
  const double expected = estimate.Ms(attempt.knows_key) * rounds;
  found->second.Ended(request.key_hash, end, tells ? expected : 0, service,
                      now);
  if (end.result == attempt_result::kAnswered) {
    const std::chrono::duration<double, std::milli> took = end.took;
    const double slowness = std::max(1.0, found->second.slowness());
    estimate.Learn(attempt.knows_key, took.count() / rounds / slowness);
  }
}

// Records of targets that are gone are dropped with the set that named them.
void service_tracker::Follow(const target_set& targets,
                             const traffic_service* service,
                             std::string_view service_name,
                             time_point now) {
  if (followed_.get() == &targets)
    return;
  followed_ = &targets;
  const auto& listed = targets.OfService(service_name);
  for (const auto& target : listed)
    records_[target.id].Describe(target, service, now);
  std::erase_if(records_, [&](const auto& entry) {
    return std::none_of(listed.begin(), listed.end(), [&](const auto& target) {
      return target.id == entry.first;
    });
  });
}

std::vector<service_tracker::candidate> service_tracker::Candidates(
    const placing_request& request,
    const target_set& targets,
    const traffic_service* service,
    std::string_view service_name,
    const entry_place& self,
    const std::vector<std::string>& entries,
    time_point now) {
  std::vector<candidate> fit;
  std::vector<candidate> failing;
  for (const auto& target : targets.OfService(service_name)) {
    const bool at_home = request.home_regions.empty() ||
                         Contains(request.home_regions, target.region);
    if (!targets.IsOpen(target) || !at_home ||
        Contains(request.excluded, target.id))
      continue;
    auto& record = records_[target.id];
    if (!record.IsFit(now) ||
        !MayTakeCold(record, target, service, self, entries, now))
      continue;
    const double weight = target.slots * Locality(target, self);
    const candidate each{&target, &record,
                         TargetRank(request.key_hash, target.id, weight)};
    (record.fails_in_part() ? failing : fit).push_back(each);
  }
  // When most fail in part, avoiding them would only pile all work on the
  // rest, which then fails too.
  if (failing.size() > fit.size())
    fit.insert(fit.end(), failing.begin(), failing.end());
  const auto count = std::min(kTargetsPerKey, fit.size());
  std::partial_sort(
      fit.begin(), fit.begin() + static_cast<std::ptrdiff_t>(count), fit.end(),
      [](const auto& a, const auto& b) { return a.rank > b.rank; });
  fit.resize(count);
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
  const double share =
      std::floor(service->cold_rate * kColdUse / kColdSenders);
  return static_cast<double>(record.ColdSends(now)) < std::max(1.0, share);
}

service_tracker::forecast service_tracker::Forecast(
    const candidate& each,
    const placing_request& request,
    time_point now) {
  const auto& estimate = EstimateOf(request);
  const double slots = std::max(1U, each.target->slots);
  const double slowness = std::max(1.0, each.record->slowness());
  const double ahead =
      std::max(0.0, each.record->Load(now) + 1 - slots) / slots;
  const bool knows_key = each.record->KnowsKey(request.key_hash, now);
  return {.wait_ms = ahead * estimate.Ms(true) * slowness,
          .service_ms = estimate.Ms(knows_key) * slowness};
}

service_time_estimate& service_tracker::EstimateOf(
    const placing_request& request) {
  return estimates_.try_emplace(request.route, request.objective)
      .first->second;
}

}  // namespace samphire
