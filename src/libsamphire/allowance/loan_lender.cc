#include "allowance/loan_lender.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace samphire {

namespace {

// A borrower has a handful of asks under way; more than this is a fault of its
// own or a flood, and each would be told of a slot that it can't use.
constexpr std::size_t kMaxWaitingOfBorrower = 16;
constexpr std::size_t kMaxWaiting = 256;
// An ask waits for half of its life at most: a slot that is granted later could
// start little work before it had to go back.
constexpr int kWaitPart = 2;
// Bounds on what a message may ask for, whatever its sender believes.
constexpr duration kLongestTtl = std::chrono::seconds(10);
constexpr duration kLongestWork = std::chrono::minutes(30);

// What is over the bounds is refused, not cut down: the borrower would go on
// believing in the times that it asked for. Compared as plain counts, since a
// hostile number would overflow a finer unit.
bool IsLength(std::int64_t length_us, duration most) {
  return length_us >= 0 &&
         length_us <=
             std::chrono::duration_cast<std::chrono::microseconds>(most)
                 .count();
}

template <typename Message>
bool IsSound(const Message& message) {
  return message.ttl_us > 0 && IsLength(message.ttl_us, kLongestTtl) &&
         IsLength(message.longest_work_us, kLongestWork);
}

duration Length(std::int64_t length_us) {
  return std::chrono::microseconds(length_us);
}

}  // namespace

void loan_lender::OnAsk(const std::string& from,
                        const loan_ask& ask,
                        time_point now) {
  // A doubled ask must not take a second slot.
  for (const auto& [id, each] : loans_) {
    if (each.borrower == from && each.ask_id == ask.ask_id &&
        each.borrower_incarnation == ask.borrower_incarnation) {
      Grant(from, ask.ask_id, id);
      return;
    }
  }
  std::size_t of_borrower = 0;
  for (const auto& each : asks_) {
    if (each.borrower != from)
      continue;
    ++of_borrower;
    if (each.ask.ask_id == ask.ask_id &&
        each.ask.borrower_incarnation == ask.borrower_incarnation)
      return;
  }
  if (!lending_ || !IsSound(ask) || !IsLength(ask.waited_us, kLongestWork) ||
      of_borrower >= kMaxWaitingOfBorrower || asks_.size() >= kMaxWaiting) {
    Refuse(from, ask.service, ask.borrower_incarnation, ask.ask_id);
    return;
  }
  waiting_ask waiting{from, ask, now - Length(ask.waited_us),
                      now + Length(ask.ttl_us) / kWaitPart};
  const auto place =
      std::upper_bound(asks_.begin(), asks_.end(), waiting,
                       [](const waiting_ask& a, const waiting_ask& b) {
                         return a.waiting_since < b.waiting_since;
                       });
  asks_.insert(place, std::move(waiting));
  Advance(now);
}

void loan_lender::OnReturn(const std::string& from,
                           const loan_return& message,
                           time_point now) {
  std::erase_if(asks_, [&](const waiting_ask& each) {
    return message.loan_id == 0 && each.borrower == from &&
           each.ask.ask_id == message.ask_id &&
           each.ask.borrower_incarnation == message.borrower_incarnation;
  });
  const auto closed =
      std::find_if(loans_.begin(), loans_.end(), [&](const auto& item) {
        const auto& each = item.second;
        if (each.borrower != from ||
            each.borrower_incarnation != message.borrower_incarnation)
          return false;
        if (message.loan_id == 0)
          return each.ask_id == message.ask_id;
        return item.first == message.loan_id &&
               message.lender_incarnation == incarnation_;
      });
  if (closed != loans_.end())
    Close(closed, now);
  outbox_.push_back({from, loan_closed{service_, message.borrower_incarnation,
                                       message.ask_id}});
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
  // A borrower that is never without waiters would otherwise keep the slot for
  // ever, while those who own it wait.
  const bool needed_here =
      !lending_ || slots_.LoanDemand(now).has_value() || !asks_.empty();
  if (!known || needed_here || !IsSound(message)) {
    Refuse(from, message.service, message.borrower_incarnation, message.ask_id);
    return;
  }
  auto& renewed = found->second;
  renewed.reclaim_at =
      std::max(renewed.reclaim_at,
               ReclaimAt(message.ttl_us, message.longest_work_us, now));
  ++counts_.renewed;
  Grant(from, message.ask_id, found->first);
}

void loan_lender::Advance(time_point now) {
  RefuseDue(now);
  ReclaimDue(now);
  TellOldestAsk(now);
  LendToOldest(now);
  TellOldestAsk(now);
}

void loan_lender::LendToOldest(time_point now) {
  while (!asks_.empty()) {
    // The slot leaves this entry's share before the message that grants it
    // leaves the process; a lost message then wastes a slot, and never gives
    // it to two.
    const auto lent = slots_.Lend(now);
    if (!lent)
      return;
    const auto first = std::move(asks_.front());
    asks_.erase(asks_.begin());
    const auto id = next_loan_++;
    loans_.emplace(
        id, loan{first.borrower, first.ask.borrower_incarnation,
                 first.ask.ask_id, lent->target,
                 ReclaimAt(first.ask.ttl_us, first.ask.longest_work_us, now)});
    ++counts_.lent;
    Grant(first.borrower, first.ask.ask_id, id);
  }
}

// Counted from now, which is later than the sending of the ask: the borrower's
// last start, its longest work and the clocks' error all end before.
time_point loan_lender::ReclaimAt(std::int64_t ttl_us,
                                  std::int64_t longest_work_us,
                                  time_point now) const {
  return now + Length(ttl_us) + terms_.drift + Length(longest_work_us);
}

void loan_lender::RefuseDue(time_point now) {
  std::erase_if(asks_, [&](const waiting_ask& each) {
    if (lending_ && each.answer_by > now)
      return false;
    Refuse(each.borrower, each.ask.service, each.ask.borrower_incarnation,
           each.ask.ask_id);
    return true;
  });
}

void loan_lender::ReclaimDue(time_point now) {
  for (auto each = loans_.begin(); each != loans_.end();) {
    const auto next = std::next(each);
    if (each->second.reclaim_at <= now) {
      ++counts_.reclaimed;
      Close(each, now);
    }
    each = next;
  }
}

void loan_lender::TellOldestAsk(time_point now) {
  std::optional<time_point> oldest;
  if (!asks_.empty())
    oldest = asks_.front().waiting_since;
  if (oldest == told_oldest_)
    return;
  told_oldest_ = oldest;
  Wake(slots_.SetOldestLoanRequest(oldest, now));
}

void loan_lender::Close(std::map<std::uint64_t, loan>::iterator closed,
                        time_point now) {
  const std::string target = closed->second.target;
  loans_.erase(closed);
  Wake(slots_.LoanReturned(target, now));
}

void loan_lender::Wake(std::vector<wakeup> wakeups) {
  std::move(wakeups.begin(), wakeups.end(), std::back_inserter(wakeups_));
}

void loan_lender::Grant(const std::string& to,
                        std::uint64_t ask_id,
                        std::uint64_t id) {
  const auto& granted = loans_.at(id);
  outbox_.push_back({to, loan_grant{service_, granted.borrower_incarnation,
                                    ask_id, incarnation_, id, granted.target}});
}

void loan_lender::Refuse(const std::string& to,
                         const std::string& service,
                         std::uint64_t incarnation,
                         std::uint64_t ask_id) {
  outbox_.push_back({to, loan_refusal{service, incarnation, ask_id}});
}

time_point loan_lender::NextDue() const {
  auto next = time_point::max();
  for (const auto& each : asks_)
    next = std::min(next, each.answer_by);
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
