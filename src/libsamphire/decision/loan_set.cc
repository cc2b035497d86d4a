#include "decision/loan_set.h"

#include <algorithm>

namespace samphire {

void loan_set::Add(const borrowed_loan& loan) {
  loans_.push_back({loan, false});
}

void loan_set::Renew(std::uint64_t id, time_point usable_until) {
  for (auto& candidate : loans_) {
    if (candidate.loan.id == id)
      candidate.loan.usable_until =
          std::max(candidate.loan.usable_until, usable_until);
  }
}

bool loan_set::Contains(std::uint64_t id) const {
  return std::any_of(loans_.begin(), loans_.end(),
                     [&](const entry& each) { return each.loan.id == id; });
}

std::optional<std::uint64_t> loan_set::FindIdle(std::string_view target,
                                                duration longest,
                                                time_point now) const {
  for (const auto& candidate : loans_) {
    // The lender takes the slot back after the longest work time that was
    // agreed; longer work would still run when the slot has its next user.
    if (!candidate.busy && candidate.loan.target == target &&
        candidate.loan.usable_until > now &&
        longest <= candidate.loan.longest_work)
      return candidate.loan.id;
  }
  return std::nullopt;
}

void loan_set::SetBusy(std::uint64_t id, bool busy) {
  for (auto& candidate : loans_) {
    if (candidate.loan.id == id)
      candidate.busy = busy;
  }
}

bool loan_set::HasIdle(std::string_view target, time_point now) const {
  return FindIdle(target, duration::zero(), now).has_value();
}

std::uint32_t loan_set::idle(time_point now) const {
  return static_cast<std::uint32_t>(
      std::count_if(loans_.begin(), loans_.end(), [&](const entry& each) {
        return !each.busy && each.loan.usable_until > now;
      }));
}

std::optional<time_point> loan_set::next_expiry() const {
  std::optional<time_point> next;
  for (const auto& candidate : loans_) {
    if (!candidate.busy && (!next || candidate.loan.usable_until < *next))
      next = candidate.loan.usable_until;
  }
  return next;
}

}  // namespace samphire
