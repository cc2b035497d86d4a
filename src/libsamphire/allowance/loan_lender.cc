#include "allowance/loan_lender.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace samphire {

namespace {

// Bounds on pending requests, per borrower and in total. A borrower normally
// has only a handful of requests open. More than this indicates a faulty
// borrower or a flood of requests, and each of them would be granted a slot
// that the borrower can't use.
constexpr std::size_t kMaxPendingPerBorrower = 16;
constexpr std::size_t kMaxPending = 256;
// A request waits for at most half of its time to live. A slot granted later
// could start little work before it had to be returned.
constexpr int kMaxWaitDivisor = 2;
// Upper bounds on the durations in a message, whatever its sender's
// configuration allows.
constexpr duration kMaxTtl = std::chrono::seconds(10);
constexpr duration kMaxWorkDuration = std::chrono::minutes(30);

// Durations out of bounds are refused rather than clamped, since the borrower
// would keep relying on the times that it requested. They are compared as plain
// counts, because converting a hostile value to a finer unit would overflow.
bool IsValidDuration(std::int64_t duration_us, duration maximum) {
  return duration_us >= 0 &&
         duration_us <=
             std::chrono::duration_cast<std::chrono::microseconds>(maximum)
                 .count();
}

template <typename Message>
bool HasValidDurations(const Message& message) {
  return message.ttl_us > 0 && IsValidDuration(message.ttl_us, kMaxTtl) &&
         IsValidDuration(message.longest_work_us, kMaxWorkDuration);
}

duration ToDuration(std::int64_t duration_us) {
  return std::chrono::microseconds(duration_us);
}

}  // namespace

void loan_lender::OnRequest(const std::string& from,
                            const loan_request& request,
                            time_point now) {
  // A duplicated request must not take a second slot.
  for (const auto& [id, each] : loans_) {
    if (each.borrower == from && each.request_id == request.request_id &&
        each.borrower_incarnation == request.borrower_incarnation) {
      SendGrant(from, request.request_id, id);
      return;
    }
  }
  std::size_t pending_of_borrower = 0;
  for (const auto& each : pending_) {
    if (each.borrower != from)
      continue;
    ++pending_of_borrower;
    if (each.request.request_id == request.request_id &&
        each.request.borrower_incarnation == request.borrower_incarnation)
      return;
  }
  if (!lending_ || !HasValidDurations(request) ||
      !IsValidDuration(request.waited_us, kMaxWorkDuration) ||
      pending_of_borrower >= kMaxPendingPerBorrower ||
      pending_.size() >= kMaxPending) {
    SendRefusal(from, request.service, request.borrower_incarnation,
                request.request_id);
    return;
  }
  pending_request waiting{from, request, now - ToDuration(request.waited_us),
                          now + ToDuration(request.ttl_us) / kMaxWaitDivisor};
  const auto position =
      std::upper_bound(pending_.begin(), pending_.end(), waiting,
                       [](const pending_request& a, const pending_request& b) {
                         return a.waiting_since < b.waiting_since;
                       });
  pending_.insert(position, std::move(waiting));
  Advance(now);
}

void loan_lender::OnReturn(const std::string& from,
                           const loan_return& message,
                           time_point now) {
  std::erase_if(pending_, [&](const pending_request& each) {
    return message.loan_id == 0 && each.borrower == from &&
           each.request.request_id == message.request_id &&
           each.request.borrower_incarnation == message.borrower_incarnation;
  });
  const auto closed =
      std::find_if(loans_.begin(), loans_.end(), [&](const auto& item) {
        const auto& each = item.second;
        if (each.borrower != from ||
            each.borrower_incarnation != message.borrower_incarnation)
          return false;
        if (message.loan_id == 0)
          return each.request_id == message.request_id;
        return item.first == message.loan_id &&
               message.lender_incarnation == incarnation_;
      });
  if (closed != loans_.end())
    CloseLoan(closed, now);
  outbox_.push_back(
      {from, loan_return_ack{service_, message.borrower_incarnation,
                             message.request_id}});
  Advance(now);
}

void loan_lender::OnRenewal(const std::string& from,
                            const loan_renewal& message,
                            time_point now) {
  const auto found = loans_.find(message.loan_id);
  const bool known =
      found != loans_.end() && found->second.borrower == from &&
      found->second.borrower_incarnation == message.borrower_incarnation &&
      message.lender_incarnation == incarnation_;
  // Without this check, a borrower that always has waiting requests would keep
  // the slot forever while requests wait at the entry that owns it.
  const bool needed_here =
      !lending_ || dispatcher_.LoanDemand(now).has_value() || !pending_.empty();
  if (!known || needed_here || !HasValidDurations(message)) {
    SendRefusal(from, message.service, message.borrower_incarnation,
                message.request_id);
    return;
  }
  auto& renewed = found->second;
  renewed.reclaim_at =
      std::max(renewed.reclaim_at,
               ReclaimAt(message.ttl_us, message.longest_work_us, now));
  ++counts_.renewed;
  SendGrant(from, message.request_id, found->first);
}

void loan_lender::Advance(time_point now) {
  RefuseExpired(now);
  ReclaimExpired(now);
  ReportOldestRequest(now);
  GrantToOldest(now);
  ReportOldestRequest(now);
}

void loan_lender::GrantToOldest(time_point now) {
  while (!pending_.empty()) {
    // The slot is removed from this entry's share before the message that
    // grants it leaves the process. A lost message then leaves a slot unused,
    // but never gives it to two entries.
    const auto lent = dispatcher_.Lend(now);
    if (!lent)
      return;
    const auto first = std::move(pending_.front());
    pending_.erase(pending_.begin());
    const auto id = next_loan_id_++;
    loans_.emplace(id, loan{first.borrower, first.request.borrower_incarnation,
                            first.request.request_id, lent->target,
                            ReclaimAt(first.request.ttl_us,
                                      first.request.longest_work_us, now)});
    ++counts_.lent;
    SendGrant(first.borrower, first.request.request_id, id);
  }
}

// Counted from `now`, which is later than the sending of the request. The time
// to live bounds when the borrower last starts work, so the borrower's longest
// work has ended by then, with the allowed clock drift included.
time_point loan_lender::ReclaimAt(std::int64_t ttl_us,
                                  std::int64_t longest_work_us,
                                  time_point now) const {
  return now + ToDuration(ttl_us) + terms_.clock_drift +
         ToDuration(longest_work_us);
}

void loan_lender::RefuseExpired(time_point now) {
  std::erase_if(pending_, [&](const pending_request& each) {
    if (lending_ && each.respond_by > now)
      return false;
    SendRefusal(each.borrower, each.request.service,
                each.request.borrower_incarnation, each.request.request_id);
    return true;
  });
}

void loan_lender::ReclaimExpired(time_point now) {
  for (auto each = loans_.begin(); each != loans_.end();) {
    const auto next = std::next(each);
    if (each->second.reclaim_at <= now) {
      ++counts_.reclaimed;
      CloseLoan(each, now);
    }
    each = next;
  }
}

void loan_lender::ReportOldestRequest(time_point now) {
  std::optional<time_point> oldest;
  if (!pending_.empty())
    oldest = pending_.front().waiting_since;
  if (oldest == reported_oldest_)
    return;
  reported_oldest_ = oldest;
  QueueWakeups(dispatcher_.SetOldestLoanRequest(oldest, now));
}

void loan_lender::CloseLoan(std::map<std::uint64_t, loan>::iterator closed,
                            time_point now) {
  const std::string target = closed->second.target;
  loans_.erase(closed);
  QueueWakeups(dispatcher_.LoanReturned(target, now));
}

void loan_lender::QueueWakeups(std::vector<wakeup> wakeups) {
  std::move(wakeups.begin(), wakeups.end(), std::back_inserter(wakeups_));
}

void loan_lender::SendGrant(const std::string& to,
                            std::uint64_t request_id,
                            std::uint64_t loan_id) {
  const auto& granted = loans_.at(loan_id);
  outbox_.push_back(
      {to, loan_grant{service_, granted.borrower_incarnation, request_id,
                      incarnation_, loan_id, granted.target}});
}

void loan_lender::SendRefusal(const std::string& to,
                              const std::string& service,
                              std::uint64_t incarnation,
                              std::uint64_t request_id) {
  outbox_.push_back({to, loan_refusal{service, incarnation, request_id}});
}

time_point loan_lender::NextDue() const {
  auto next = time_point::max();
  for (const auto& each : pending_)
    next = std::min(next, each.respond_by);
  for (const auto& [id, each] : loans_)
    next = std::min(next, each.reclaim_at);
  return next;
}

loan_outbox loan_lender::TakeMessages() {
  return std::exchange(outbox_, {});
}

std::vector<wakeup> loan_lender::TakeWakeups() {
  return std::exchange(wakeups_, {});
}

}  // namespace samphire
