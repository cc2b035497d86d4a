// Loans and status of the dispatcher.

#include <algorithm>

#include "decision/service_dispatcher.h"

namespace samphire {

namespace {

// Number of slots requested at a time. A round trip is short compared with the
// work, so more slots are requested when these arrive; a larger number would
// occupy peers' slots for waiting requests that owned slots serve first.
constexpr std::size_t kMaxRequestedSlots = 8;

}  // namespace

std::optional<loan_demand> service_dispatcher::LoanDemand(
    time_point now) const {
  loan_demand demand;
  std::map<std::string, std::size_t> free_capacity;
  queue_.Find(request_kind::kInteractive, [&](const waiter& entry) {
    const auto& home = entry.request.home_region;
    const auto [left, added] = free_capacity.try_emplace(home, 0);
    if (added)
      left->second = shifts_->free_capacity(home, now);
    // Another slot doesn't help a request that is held back by a shift cap.
    if (left->second > 0) {
      --left->second;
      demand.waits.push_back(now - entry.request.arrived);
    }
    return demand.waits.size() >= kMaxRequestedSlots;
  });
  if (demand.waits.empty())
    return std::nullopt;
  for (const auto& [name, load] : loads_) {
    if (load->rules.kind == request_kind::kInteractive)
      demand.longest_work =
          std::max<duration>(demand.longest_work, load->rules.max_deadline);
  }
  return demand;
}

std::vector<wakeup> service_dispatcher::AddLoan(const borrowed_loan& loan,
                                                time_point now) {
  pool_.loans().Add(loan);
  return Serve(now);
}

void service_dispatcher::RenewLoan(std::uint64_t loan_id,
                                   time_point usable_until) {
  pool_.loans().Renew(loan_id, usable_until);
}

bool service_dispatcher::HasLoan(std::uint64_t loan_id) const {
  return pool_.loans().Contains(loan_id);
}

std::vector<std::uint64_t> service_dispatcher::RemoveIdleLoans(time_point now) {
  const bool unused = !HasStartableRequest(now);
  return pool_.loans().RemoveIdle(now, [&](const borrowed_loan& loan) {
    return unused || !pool_.IsOpen(loan.target);
  });
}

std::optional<lent_slot> service_dispatcher::Lend(time_point now) {
  return pool_.Lend(now);
}

std::vector<wakeup> service_dispatcher::LoanReturned(const std::string& target,
                                                     time_point now) {
  pool_.RestoreLentSlot(target);
  return Serve(now);
}

std::vector<wakeup> service_dispatcher::SetOldestLoanRequest(
    std::optional<time_point> oldest,
    time_point now) {
  oldest_loan_request_ = oldest;
  return Serve(now);
}

dispatcher_status service_dispatcher::status(time_point now) const {
  dispatcher_status shown;
  for (const auto& each : pool_.all()) {
    shown.owned += each.owned;
    shown.lent += each.lent;
    if (!each.open() || each.health.ejected())
      shown.unusable += each.owned;
    if (each.health.ejected())
      shown.ejected.push_back(each.name);
  }
  shown.borrowed = static_cast<std::uint32_t>(pool_.loans().size());
  shown.free = pool_.FreeSlots(now);
  shown.in_flight = interactive_running_ + bulk_running_;
  shown.bulk_in_flight = bulk_running_;
  const auto usable = pool_.UsableSlots(now);
  shown.headroom = usable == 0 ? 0 : static_cast<double>(shown.free) / usable;
  shown.queue_delay = shedder_.delay();
  shown.shed_level = shedder_.level();
  for (const auto& [name, load] : loads_)
    shown.classes.push_back({name, load->queued, load->service.mean()});
  for (const auto& [reason, count] : refusals_)
    shown.refusals.push_back({reason, count});
  shown.shifts = shifts_->status(now);
  return shown;
}

}  // namespace samphire
