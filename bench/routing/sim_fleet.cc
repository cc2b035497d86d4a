#include "routing/sim_fleet.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numbers>
#include <utility>

#include "routing/key_owner.h"
#include "routing/target_rank.h"

namespace samphire {

namespace {

constexpr const char* kService = "s";
// The bound on retries, as declared by installations.
const retry_bound kRetries{.ratio = 0.2,
                           .slack = 60,
                           .window = milliseconds{10'000}};
constexpr std::uint32_t kMaxAttempts = 3;
// Time after the last request in which all requests reach their end.
constexpr milliseconds kDrainTime{10'000};

}  // namespace

sim_fleet::sim_fleet(const sim_scenario& scenario)
    : scenario_(scenario), random_(scenario.seed), start_(events_.now()) {
  service_.name = kService;
  AddEntriesAndTargets();
  PublishTargets();
}

void sim_fleet::Run() {
  for (const auto& route : scenario_.routes) {
    for (const auto& [region, domains] : domains_)
      ScheduleNextRequest(route, region);
  }
  for (const auto& fault : scenario_.faults)
    ScheduleFault(fault);
  events_.RunUntil(start_ + scenario_.length + kDrainTime);
}

void sim_fleet::AddEntriesAndTargets() {
  for (std::size_t r = 0; r < scenario_.targets.size(); ++r) {
    const std::string region = "region-" + std::to_string(r);
    for (std::size_t d = 0; d < scenario_.targets[r].size(); ++d) {
      const auto domain = region + "-" + std::to_string(d);
      domains_[region].push_back(domain);
      for (int i = 0; i < scenario_.entries_per_domain; ++i) {
        entry_location location{"entry-" + domain + "-" + std::to_string(i),
                                domain, region};
        entry_names_[region].push_back(location.instance);
        entries_.push_back(std::make_unique<entry>(
            entry{location, service_tracker(scenario_.disabled), {}}));
        region_entries_[region].push_back(entries_.back().get());
      }
      for (int i = 0; i < scenario_.targets[r][d]; ++i) {
        live_target target;
        target.id = "target-" + domain + "-" + std::to_string(i) + "-" +
                    std::to_string(scenario_.seed);
        target.service = kService;
        target.region = region;
        target.failure_domain = domain;
        target.slots = scenario_.slots;
        target.started_ms = 1;
        targets_[target.id] =
            std::make_unique<sim_target>(target, scenario_, events_, random_);
      }
    }
  }
}

void sim_fleet::PublishTargets() {
  std::vector<live_target> listed;
  listed.reserve(targets_.size());
  for (const auto& [id, target] : targets_)
    listed.push_back(target->description());
  target_set_ = target_set_ptr(new target_set(std::move(listed), {}));
}

void sim_fleet::ScheduleNextRequest(const sim_route& route,
                                    const std::string& region) {
  std::exponential_distribution<double> gap(route.rate * RateFactor(region));
  const auto wait = std::chrono::duration<double>(gap(random_));
  events_.After(std::chrono::duration_cast<duration>(wait),
                [this, &route, region] {
                  if (events_.now() - start_ >= scenario_.length)
                    return;
                  IssueRequest(route, region);
                  ScheduleNextRequest(route, region);
                });
}

double sim_fleet::RateFactor(const std::string& region) const {
  const auto position = std::distance(domains_.begin(), domains_.find(region));
  const double phase =
      static_cast<double>(position) / static_cast<double>(domains_.size());
  const std::chrono::duration<double> passed = events_.now() - start_;
  const std::chrono::duration<double> period = scenario_.wave_period;
  const double turn = passed / period + phase;
  return burst_ *
         (1 + scenario_.wave_amplitude * std::sin(2 * std::numbers::pi * turn));
}

void sim_fleet::ScheduleFault(const sim_fault& fault) {
  events_.At(start_ + fault.starts_at, [this, &fault] { BeginFault(fault); });
  events_.At(start_ + fault.starts_at + fault.lasts,
             [this, &fault] { EndFault(fault); });
}

// Selects the same targets at the start and the end of a fault.
std::vector<sim_target*> sim_fleet::AffectedTargets(const sim_fault& fault) {
  std::vector<sim_target*> affected;
  for (const auto& [id, target] : targets_)
    affected.push_back(target.get());
  std::mt19937_64 random(scenario_.seed);
  std::shuffle(affected.begin(), affected.end(), random);
  affected.resize(static_cast<std::size_t>(
      fault.share * static_cast<double>(affected.size())));
  return affected;
}

void sim_fleet::BeginFault(const sim_fault& fault) {
  if (fault.kind == sim_fault_kind::kBurst) {
    burst_ = fault.strength;
    return;
  }
  for (auto* target : AffectedTargets(fault)) {
    if (fault.kind == sim_fault_kind::kSlowTargets)
      target->slowness = fault.strength;
    else if (fault.kind == sim_fault_kind::kShedding)
      target->shed_share = fault.strength;
    else if (fault.kind == sim_fault_kind::kFailing)
      target->fail_share = fault.strength;
    else
      target->Crash();
    target->powered_off = fault.kind == sim_fault_kind::kPowerLoss;
  }
}

void sim_fleet::EndFault(const sim_fault& fault) {
  if (fault.kind == sim_fault_kind::kBurst) {
    burst_ = 1;
    return;
  }
  for (auto* target : AffectedTargets(fault)) {
    target->slowness = 1;
    target->shed_share = 0;
    target->fail_share = 0;
    target->powered_off = false;
    if (fault.kind == sim_fault_kind::kCrash ||
        fault.kind == sim_fault_kind::kPowerLoss)
      target->Restart(fault.starts_at.count());
  }
  PublishTargets();
}

void sim_fleet::IssueRequest(const sim_route& route,
                             const std::string& region) {
  const auto request = std::make_shared<sim_request>();
  request->route = &route;
  request->region = region;
  const auto& domains = domains_[region];
  request->caller_domain = domains[random_() % domains.size()];
  const auto object = random_() % static_cast<std::uint64_t>(route.objects);
  request->key_hash = KeyHash(route.name, region + std::to_string(object));
  request->issued_at = events_.now();
  AddToTallies(*request, [](sim_tally& tally) { ++tally.requests; });
  SendToEntry(request);
}

// Callers choose a random entry of their region.
void sim_fleet::SendToEntry(const request_ptr& request) {
  const auto& near = region_entries_[request->region];
  request->receiver = near[random_() % near.size()];
  request->tried_targets.clear();
  request->attempts = 0;
  request->receiver->retries.OnRequest(events_.now());
  Attempt(request);
}

placement_criteria sim_fleet::CriteriaFor(const sim_request& request) const {
  const auto left = request.issued_at + request.route->deadline - events_.now();
  return {.route = request.route->name,
          .key_hash = request.key_hash,
          .body_bytes = request.route->request_bytes,
          .objective = request.route->objective,
          .time_left = std::chrono::floor<milliseconds>(left),
          .home_regions = {},
          .excluded = request.tried_targets};
}

void sim_fleet::Attempt(const request_ptr& request) {
  ++request->attempts;
  request->placer = ChoosePlacer(*request);
  const auto& location = request->placer->location;
  if (request->placer == request->receiver)
    Place(request);
  else
    events_.After(2 * HopDelay(location.region, location.failure_domain,
                               *request->receiver),
                  [this, request] { Place(request); });
}

sim_fleet::entry* sim_fleet::ChoosePlacer(sim_request& request) {
  auto* receiver = request.receiver;
  const auto criteria = CriteriaFor(request);
  request.for_region = false;
  if (scenario_.disabled.contains(placement_mechanism::kKeyOwner) ||
      receiver->tracker.KeepsInDomain(criteria))
    return receiver;
  const auto& region = receiver->location.region;
  const auto index = KeyOwner(criteria.key_hash, entry_names_[region]);
  if (!index)
    return receiver;
  auto* owner = region_entries_[region][*index];
  const bool elsewhere =
      owner->location.failure_domain != receiver->location.failure_domain;
  if (elsewhere && owner->tracker.KeepsInDomain(criteria))
    return receiver;
  request.for_region = true;
  return owner;
}

void sim_fleet::Place(const request_ptr& request) {
  auto& placer = *request->placer;
  auto criteria = CriteriaFor(*request);
  criteria.for_region = request->for_region;
  const auto placed = placer.tracker.Place(
      criteria, *target_set_, &service_, kService, placer.location,
      entry_names_[placer.location.region], events_.now());
  if (const auto* refusal = std::get_if<placement_refusal>(&placed))
    OnRefused(request, refusal->retry_after);
  else
    Send(request, std::get<placed_attempt>(placed));
}

void sim_fleet::Send(const request_ptr& request, const placed_attempt& placed) {
  const auto sent = events_.now();
  auto& target = *targets_.at(placed.target.id);
  const auto hop = HopDelay(placed.target.region, placed.target.failure_domain,
                            *request->receiver);
  const auto item = std::make_shared<sim_target::work>();
  const auto done = std::make_shared<bool>(false);
  item->key_hash = request->key_hash;
  item->cold_work = request->route->cold_work;
  // The item owns this function, so the function must not own the item.
  const auto& begun_cold = item->cold;
  item->on_end = [this, request, placed, sent, hop, done,
                  &begun_cold](auto result) {
    events_.After(
        hop, [this, request, placed, sent, done, result, cold = begun_cold] {
          if (!std::exchange(*done, true))
            OnEnd(request, placed, result, events_.now() - sent, cold);
        });
  };
  events_.After(hop, [&target, item] {
    if (!item->cancelled)
      target.Submit(item);
  });
  events_.At(request->issued_at + request->route->deadline,
             [this, request, placed, sent, done, item, &target] {
               if (std::exchange(*done, true))
                 return;
               target.Cancel(item);
               OnEnd(request, placed, attempt_result::kTimedOut,
                     events_.now() - sent, item->cold);
             });
}

void sim_fleet::OnEnd(const request_ptr& request,
                      const placed_attempt& placed,
                      attempt_result result,
                      duration took,
                      bool cold) {
  const auto& target = *targets_.at(placed.target.id);
  attempt_end end{.result = result, .took = took};
  const bool answered = result == attempt_result::kAnswered;
  if (answered)
    end.body_bytes =
        request->route->request_bytes + request->route->answer_bytes;
  if (answered || result == attempt_result::kTargetRefused)
    end.report = target.Report();
  request->placer->tracker.Ended(CriteriaFor(*request), placed, end, &service_,
                                 events_.now());
  if (answered) {
    OnAnswered(request, placed.target, cold);
    return;
  }
  if (result == attempt_result::kTimedOut) {
    Fail(request);
    return;
  }
  request->tried_targets.push_back(placed.target.id);
  const bool may_have_run =
      result == attempt_result::kTargetError || result == attempt_result::kLost;
  if (may_have_run && !request->route->idempotent) {
    Fail(request);
    return;
  }
  const bool may_repeat =
      result == attempt_result::kConnectFailed ||
      request->receiver->retries.TryTake(kRetries, {.entries = entries_.size()},
                                         events_.now());
  if (may_repeat && request->attempts < kMaxAttempts)
    Attempt(request);
  else if (result == attempt_result::kTargetRefused)
    OnRefused(request, milliseconds{100});
  else
    Fail(request);
}

// A refused caller retries once, after the time given in the refusal, if that
// is before its deadline.
void sim_fleet::OnRefused(const request_ptr& request,
                          milliseconds retry_after) {
  const auto retry_at = events_.now() + retry_after;
  if (std::exchange(request->retried, true) ||
      retry_at >= request->issued_at + request->route->deadline) {
    AddToTallies(*request, [](sim_tally& tally) { ++tally.refused; });
    return;
  }
  events_.At(retry_at, [this, request] { SendToEntry(request); });
}

void sim_fleet::OnAnswered(const request_ptr& request,
                           const live_target& target,
                           bool cold) {
  const auto& route = *request->route;
  const bool in_time = events_.now() - request->issued_at <= route.objective;
  AddToTallies(*request, [in_time, cold](sim_tally& tally) {
    ++(in_time ? tally.in_time : tally.late);
    tally.late_cold += !in_time && cold ? 1 : 0;
  });
  const auto bytes = route.request_bytes + route.answer_bytes;
  const auto& location = request->receiver->location;
  report_.bytes += bytes;
  if (target.region != location.region)
    report_.bytes_between_regions += bytes;
  else if (target.failure_domain != location.failure_domain)
    report_.bytes_between_domains += bytes;
}

void sim_fleet::Fail(const request_ptr& request) {
  AddToTallies(*request, [](sim_tally& tally) { ++tally.failed; });
}

template <typename F>
void sim_fleet::AddToTallies(const sim_request& request, F count) {
  const auto second =
      std::chrono::floor<std::chrono::seconds>(request.issued_at - start_)
          .count();
  count(report_.all);
  count(report_.by_route[request.route->name]);
  count(report_.by_domain[request.caller_domain]);
  count(report_.by_second[second]);
}

duration sim_fleet::HopDelay(const std::string& region,
                             const std::string& domain,
                             const entry& from) const {
  constexpr duration kWithinDomain = std::chrono::microseconds(200);
  if (region != from.location.region)
    return scenario_.between_regions;
  return domain == from.location.failure_domain ? kWithinDomain
                                                : scenario_.between_domains;
}

}  // namespace samphire
