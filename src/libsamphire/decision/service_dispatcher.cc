#include "decision/service_dispatcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace samphire {

namespace {

// Service time assumed for a class until the first measurement.
constexpr duration kInitialServiceTime = std::chrono::milliseconds(20);

}  // namespace

service_dispatcher::service_dispatcher(const service& declared,
                                       const limits& bounds,
                                       std::string own_region,
                                       std::uint64_t seed,
                                       queue_order order)
    : service_dispatcher(declared,
                         bounds,
                         new shift_account(std::move(own_region)),
                         seed,
                         order) {}

service_dispatcher::service_dispatcher(const service& declared,
                                       const limits& bounds,
                                       shift_account_ptr shifts,
                                       std::uint64_t seed,
                                       queue_order order)
    : bounds_(bounds),
      random_(seed),
      pool_(declared, bounds.cold_start_ramp, random_()),
      shifts_(std::move(shifts)),
      bulk_(bounds.bulk_percent),
      queue_(order),
      service_time_by_kind_{service_time(kInitialServiceTime),
                            service_time(kInitialServiceTime)} {
  for (const auto& rules : declared.classes)
    LoadOf(rules);
}

service_dispatcher::~service_dispatcher() = default;

std::vector<wakeup> service_dispatcher::SetService(const service& declared,
                                                   const limits& bounds,
                                                   time_point now) {
  bounds_ = bounds;
  bulk_.SetPercent(bounds.bulk_percent);
  pool_.SetTargets(declared, now);
  for (const auto& rules : declared.classes) {
    auto& load = LoadOf(rules);
    // The lists of the queue are indexed by kind and priority, so these may
    // change only when no request of the class is waiting.
    if (load.queued == 0)
      load.rules = rules;
    load.rules.queue_limit = rules.queue_limit;
  }
  return Serve(now);
}

std::vector<wakeup> service_dispatcher::SetOwnedSlots(
    const std::vector<owned_slots>& owned,
    time_point now) {
  pool_.SetOwned(owned);
  return Serve(now);
}

std::vector<wakeup> service_dispatcher::SetClosedTargets(
    const std::set<std::string>& closed,
    time_point now) {
  pool_.SetClosed(closed);
  return Serve(now);
}

void service_dispatcher::SetShiftCaps(const std::vector<shift_cap>& caps,
                                      const shift_share& share) {
  shifts_->SetCaps(caps, share);
}

void service_dispatcher::SetLoadHint(std::string_view target, double load) {
  pool_.SetHint(target, load);
}

admission_decision service_dispatcher::Submit(const admission_request& request,
                                              time_point now) {
  auto& load = LoadOf(*request.request_class);
  const auto kind = load.rules.kind;
  shedder_.OnArrival(load.rules.priority, now);
  if (const auto refused = RefuseAtOnce(request, load, now))
    return *refused;
  shifts_->OnArrival(request.home_region, now);
  // If a slot is free although requests wait, they can't use it, so a new
  // request that can use it overtakes nobody.
  if (shifts_->free_capacity(request.home_region, now) > 0 &&
      !YieldsSlotToPeer(request.arrived, now)) {
    if (auto grant = TryStart(request, load, now)) {
      if (kind == request_kind::kInteractive)
        RecordInteractiveStart(load.rules.priority, duration::zero(), now);
      return std::move(*grant);
    }
  }
  if (const auto refused = RefuseToQueue(request, load, now))
    return *refused;
  return Enqueue(request, load, now);
}

class_load& service_dispatcher::LoadOf(const request_class& rules) {
  auto& load = loads_[rules.name];
  if (load == nullptr)
    load = std::make_unique<class_load>(rules, kInitialServiceTime);
  return *load;
}

std::optional<slot_grant> service_dispatcher::TryStart(
    const admission_request& request,
    class_load& load,
    time_point now) {
  const bool bulk = load.rules.kind == request_kind::kBulk;
  if (bulk && !BulkMayStart(now) && !(IsBulkStarved(now) && bulk_running_ == 0))
    return std::nullopt;
  placement_constraints constraints;
  constraints.avoid_failure_domains = &request.avoid_failure_domains;
  constraints.may_probe = load.rules.repeatable && !request.isolate;
  constraints.isolate = request.isolate;
  constraints.may_borrow = !bulk;
  constraints.longest = request.deadline - now;
  if (!shifts_->TryStart(request.home_region, now))
    return std::nullopt;
  const auto place = pool_.Place(constraints, now);
  if (!place) {
    shifts_->Release(request.home_region, now);
    return std::nullopt;
  }
  return Start(request, load, *place, now);
}

slot_grant service_dispatcher::Start(const admission_request& request,
                                     class_load& load,
                                     const placement& place,
                                     time_point now) {
  const auto& target = pool_.at(place.target_index);
  slot_grant grant;
  grant.grant_id = next_grant_++;
  grant.request_id = request.id;
  grant.target = target.name;
  grant.address = target.address;
  grant.failure_domain = target.failure_domain;
  grant.probe = place.probe;
  grant.loan_id = place.loan_id;
  running_.emplace(grant.grant_id,
                   running_work{place, &load, request.home_region, now});
  if (load.rules.kind == request_kind::kBulk)
    ++bulk_running_;
  else
    ++interactive_running_;
  RecordInteractiveLoad(now);
  return grant;
}

admission_decision service_dispatcher::Enqueue(const admission_request& request,
                                               class_load& load,
                                               time_point now) {
  const auto whole = request.deadline - request.arrived;
  boost::intrusive_ptr<waiter> entry(new waiter);
  entry->request = request;
  entry->request.request_class = nullptr;
  entry->load = &load;
  entry->latest_start = request.deadline - NeededTime(load, whole);
  const auto& rules = load.rules;
  const queued answer{
      queue_.CountInLane(request.home_region, rules.kind, rules.priority),
      ExpectedWait(rules.kind, rules.priority, request.home_region, now)};
  queue_.Add(std::move(entry));
  RecordInteractiveLoad(now);
  return answer;
}

std::vector<wakeup> service_dispatcher::Finish(const slot_grant& grant,
                                               attempt_outcome outcome,
                                               duration latency,
                                               time_point now) {
  const auto found = running_.find(grant.grant_id);
  if (found == running_.end())
    return {};
  const running_work work = found->second;
  running_.erase(found);
  const auto kind = work.load->rules.kind;
  --(kind == request_kind::kBulk ? bulk_running_ : interactive_running_);
  shifts_->Release(work.home_region, now);
  double slowness = 0;
  // An attempt that timed out took at least that long; one that failed
  // immediately says nothing about speed.
  const bool timed =
      outcome == attempt_outcome::kOk || outcome == attempt_outcome::kTimedOut;
  if (timed && work.load->service.measured()) {
    slowness = std::chrono::duration<double>(latency) /
               std::max<duration>(work.load->service.mean(),
                                  std::chrono::microseconds(100));
  }
  if (outcome == attempt_outcome::kOk) {
    work.load->service.Add(latency);
    work.load->measured_at = now;
    service_time_by_kind_[IndexOf(kind)].Add(latency);
  }
  pool_.Release(work.place, outcome, slowness, now);
  RecordInteractiveLoad(now);
  return Serve(now);
}

cancel_result service_dispatcher::Cancel(std::uint64_t request_id,
                                         time_point now) {
  const auto entry = queue_.Remove(request_id);
  if (entry == nullptr)
    return {};
  RecordInteractiveLoad(now);
  return {true, Serve(now)};
}

std::vector<wakeup> service_dispatcher::Tick(time_point now) {
  return Serve(now);
}

}  // namespace samphire
