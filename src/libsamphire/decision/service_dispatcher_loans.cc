// The loans of the dispatcher and what it shows of itself.

#include <algorithm>

#include "decision/service_dispatcher.h"

namespace samphire {

namespace {

// Slots asked for at a time. A round trip is short against the work, so the
// next ones are asked for as these come; more would hold peers' slots for
// waiters that own slots serve first.
constexpr std::size_t kMostWished = 8;

}  // namespace

std::optional<loan_wish> service_dispatcher::WantsLoan(time_point now) const {
  loan_wish wish;
  std::map<std::string, std::size_t> room;
  queue_.Find(request_kind::kInteractive, [&](const waiter& entry) {
    const auto& home = entry.request.home_region;
    const auto [left, added] = room.try_emplace(home, 0);
    if (added)
      left->second = shifts_->room(home, now);
    // A slot is no help to a waiter that a shift cap holds up.
    if (left->second > 0) {
      --left->second;
      wish.waits.push_back(now - entry.request.arrived);
    }
    return wish.waits.size() >= kMostWished;
  });
  if (wish.waits.empty())
    return std::nullopt;
  for (const auto& [name, load] : loads_) {
    if (load->rules.kind == request_kind::kInteractive)
      wish.longest_work =
          std::max<duration>(wish.longest_work, load->rules.max_deadline);
  }
  return wish;
}

std::vector<wakeup> service_dispatcher::AddLoan(const held_loan& loan,
                                                time_point now) {
  pool_.loans().Add(loan);
  return Serve(now);
}

void service_dispatcher::RenewLoan(std::uint64_t loan_id,
                                   time_point usable_until) {
  pool_.loans().Renew(loan_id, usable_until);
}

bool service_dispatcher::HoldsLoan(std::uint64_t loan_id) const {
  return pool_.loans().Contains(loan_id);
}

std::vector<std::uint64_t> service_dispatcher::TakeIdleLoans(time_point now) {
  const bool unused = !HasStartable(now);
  return pool_.loans().TakeIdle(now, [&](const held_loan& loan) {
    return unused || !pool_.IsOpen(loan.target);
  });
}

std::optional<lent_slot> service_dispatcher::Lend(time_point now) {
  return pool_.Lend(now);
}

std::vector<wakeup> service_dispatcher::LoanReturned(const std::string& target,
                                                     time_point now) {
  pool_.Restore(target);
  return Serve(now);
}

std::vector<wakeup> service_dispatcher::SetOldestAsk(
    std::optional<time_point> oldest,
    time_point now) {
  oldest_ask_ = oldest;
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
