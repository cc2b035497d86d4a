#include "allowance/loan_borrower.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace samphire {

namespace {

// A loan whose time is this much run down is renewed while requests wait.
constexpr int kRenewPart = 2;
// The lender answers an ask within half its life; an eighth more without word
// means that a message was lost.
constexpr int kAnswerEighths = 5;
constexpr int kEighths = 8;
constexpr duration kFirstResend = std::chrono::milliseconds(10);
constexpr int kMostReturnSends = 7;

std::int64_t Microseconds(duration length) {
  return std::chrono::duration_cast<std::chrono::microseconds>(length).count();
}

}  // namespace

loan_borrower::loan_borrower(service_dispatcher& slots,
                             std::string service,
                             const loan_terms& terms,
                             std::uint64_t incarnation,
                             std::uint64_t seed)
    : slots_(slots),
      service_(std::move(service)),
      terms_(terms),
      incarnation_(incarnation),
      random_(seed) {}

void loan_borrower::SetLenders(std::vector<lender_digest> lenders) {
  lenders_ = std::move(lenders);
}

void loan_borrower::OnGrant(const std::string& from,
                            const loan_grant& message,
                            time_point now) {
  // A predecessor on this instance may still have work running under it; only
  // time tells, so the lender takes the slot back by its own clock.
  if (message.borrower_incarnation != incarnation_)
    return;
  const auto found = asks_.find(message.ask_id);
  if (found == asks_.end() || found->second.lender != from) {
    // A doubled grant of a loan in use must not be sent back under its work.
    if (!Holds(from, message)) {
      ++counts_.sent_back;
      Return(from, message.ask_id, message.lender_incarnation, message.loan_id,
             now);
    }
    return;
  }
  const open_ask answered = found->second;
  asks_.erase(found);
  const auto usable_until = answered.sent + terms_.ttl;
  if (answered.renews != 0) {
    auto& renewed = held_.at(answered.renews);
    renewed.renewal_open = false;
    renewed.usable_until = std::max(renewed.usable_until, usable_until);
    slots_.RenewLoan(answered.renews, usable_until);
    return;
  }
  if (usable_until <= now) {
    ++counts_.sent_back;
    Return(from, message.ask_id, message.lender_incarnation, message.loan_id,
           now);
    return;
  }
  ++counts_.borrowed;
  held_[message.ask_id] = {from, message.lender_incarnation, message.loan_id,
                           usable_until, false};
  auto wakeups = slots_.AddLoan(
      {message.ask_id, message.target, usable_until, answered.longest_work},
      now);
  std::move(wakeups.begin(), wakeups.end(), std::back_inserter(wakeups_));
}

void loan_borrower::OnRefusal(const std::string& from,
                              const loan_refusal& message) {
  const auto found = asks_.find(message.ask_id);
  if (message.borrower_incarnation != incarnation_ || found == asks_.end() ||
      found->second.lender != from)
    return;
  // A refused renewal stays marked as open: asking again would be in vain.
  ++counts_.refused;
  asks_.erase(found);
}

void loan_borrower::Advance(time_point now) {
  GiveUpLate(now);
  SendBackIdle(now);
  const auto wish = slots_.LoanDemand(now);
  if (wish && borrowing_) {
    Renew(*wish, now);
    AskFor(*wish, now);
  } else {
    GiveUpAll(now);
  }
  SendReturns(now);
}

void loan_borrower::GiveUpLate(time_point now) {
  std::erase_if(asks_, [&](const auto& item) {
    const auto& [id, ask] = item;
    if (ask.sent + AnswerTime() > now)
      return false;
    ++counts_.asks_unanswered;
    if (ask.renews == 0)
      Return(ask.lender, id, 0, 0, now);
    return true;
  });
}

void loan_borrower::SendBackIdle(time_point now) {
  for (const auto id : slots_.RemoveIdleLoans(now)) {
    const auto found = held_.find(id);
    const borrowed_slot slot = found->second;
    held_.erase(found);
    std::erase_if(asks_,
                  [&](const auto& item) { return item.second.renews == id; });
    Return(slot.lender, id, slot.lender_incarnation, slot.lender_loan, now);
  }
}

void loan_borrower::Renew(const loan_demand& wish, time_point now) {
  for (auto& [id, slot] : held_) {
    if (slot.renewal_open || slot.usable_until <= now ||
        slot.usable_until - now > terms_.ttl / kRenewPart)
      continue;
    slot.renewal_open = true;
    const auto ask_id = next_ask_++;
    asks_[ask_id] = {slot.lender, now, wish.longest_work, id};
    outbox_.push_back(
        {slot.lender,
         loan_renewal{service_, incarnation_, ask_id, slot.lender_incarnation,
                      slot.lender_loan, Microseconds(terms_.ttl),
                      Microseconds(wish.longest_work)}});
  }
}

void loan_borrower::AskFor(const loan_demand& wish, time_point now) {
  if (lenders_.empty())
    return;
  for (auto i = OpenAsks(); i < wish.waits.size(); ++i)
    Ask(PickLender().peer, wish.waits[i], wish.longest_work, now);
}

// Made for digests that lag by a second: were all borrowers to ask the peer
// with the most free slots, they would all ask the same one.
const lender_digest& loan_borrower::PickLender() {
  std::uniform_int_distribution<std::size_t> draw(0, lenders_.size() - 1);
  const auto& first = lenders_[draw(random_)];
  const auto& second = lenders_[draw(random_)];
  const auto room = [&](const lender_digest& each) {
    return static_cast<std::int64_t>(each.free_slots) -
           static_cast<std::int64_t>(OpenAsksAt(each.peer));
  };
  return room(second) > room(first) ? second : first;
}

void loan_borrower::Ask(const std::string& lender,
                        duration waited,
                        duration longest_work,
                        time_point now) {
  const auto id = next_ask_++;
  asks_[id] = {lender, now, longest_work, 0};
  ++counts_.asks_sent;
  outbox_.push_back(
      {lender, loan_ask{service_, incarnation_, id, Microseconds(terms_.ttl),
                        Microseconds(longest_work), Microseconds(waited)}});
}

void loan_borrower::GiveUpAll(time_point now) {
  std::erase_if(asks_, [&](const auto& item) {
    const auto& [id, ask] = item;
    if (ask.renews != 0)
      return false;
    Return(ask.lender, id, 0, 0, now);
    return true;
  });
}

void loan_borrower::Return(const std::string& lender,
                           std::uint64_t ask_id,
                           std::uint64_t lender_incarnation,
                           std::uint64_t lender_loan,
                           time_point now) {
  const loan_return message{service_, incarnation_, ask_id, lender_incarnation,
                            lender_loan};
  returns_[ask_id] = {lender, message, now, 0};
}

// A lost return costs the lender a slot for as long as the longest work may
// take: with one message in twenty lost, a region at 80% load lost a quarter
// of its slots to it. So a return is sent until the lender confirms it, at
// growing distances, for about the time in which the lender takes the slot
// back by itself.
void loan_borrower::SendReturns(time_point now) {
  for (auto each = returns_.begin(); each != returns_.end();) {
    auto& open = each->second;
    if (open.next_send <= now && open.sent == kMostReturnSends) {
      each = returns_.erase(each);
      continue;
    }
    if (open.next_send <= now) {
      outbox_.push_back({open.lender, open.message});
      open.next_send = now + kFirstResend * (1 << open.sent);
      ++open.sent;
    }
    ++each;
  }
}

void loan_borrower::OnClosed(const std::string& from,
                             const loan_closed& message) {
  const auto found = returns_.find(message.ask_id);
  if (message.borrower_incarnation == incarnation_ && found != returns_.end() &&
      found->second.lender == from)
    returns_.erase(found);
}

bool loan_borrower::Holds(const std::string& from,
                          const loan_grant& message) const {
  return std::any_of(held_.begin(), held_.end(), [&](const auto& item) {
    const auto& slot = item.second;
    return slot.lender == from &&
           slot.lender_incarnation == message.lender_incarnation &&
           slot.lender_loan == message.loan_id;
  });
}

duration loan_borrower::AnswerTime() const {
  return terms_.ttl * kAnswerEighths / kEighths;
}

std::size_t loan_borrower::OpenAsks() const {
  return static_cast<std::size_t>(
      std::count_if(asks_.begin(), asks_.end(),
                    [](const auto& item) { return item.second.renews == 0; }));
}

std::size_t loan_borrower::OpenAsksAt(const std::string& lender) const {
  return static_cast<std::size_t>(std::count_if(
      asks_.begin(), asks_.end(),
      [&](const auto& item) { return item.second.lender == lender; }));
}

time_point loan_borrower::NextDue() const {
  auto next = time_point::max();
  for (const auto& [id, ask] : asks_)
    next = std::min(next, ask.sent + AnswerTime());
  for (const auto& [id, open] : returns_)
    next = std::min(next, open.next_send);
  return next;
}

loan_outbox loan_borrower::TakeMessages() {
  return std::exchange(outbox_, {});
}

std::vector<wakeup> loan_borrower::TakeWakeups() {
  return std::exchange(wakeups_, {});
}

}  // namespace samphire
