#include "allowance/loan_borrower.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace samphire {

namespace {

// While requests wait, a loan is renewed once at most this fraction of its time
// to live (one half) remains.
constexpr int kRenewDivisor = 2;
// The lender responds to a request within half of its time to live. If there is
// no response after a further eighth, a message was lost.
constexpr int kResponseTimeoutEighths = 5;
constexpr int kEighths = 8;
// Bounds on resending a return: delay before the first repetition, which
// doubles with each one, and number of transmissions; see SendReturns.
constexpr duration kFirstResendDelay = std::chrono::milliseconds(10);
constexpr int kMaxReturnSends = 7;

std::int64_t Microseconds(duration length) {
  return std::chrono::duration_cast<std::chrono::microseconds>(length).count();
}

}  // namespace

loan_borrower::loan_borrower(service_dispatcher& dispatcher,
                             std::string service,
                             const loan_terms& terms,
                             std::uint64_t incarnation,
                             std::uint64_t seed)
    : dispatcher_(dispatcher),
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
  // The grant belongs to an earlier process on this instance, which may still
  // have work running on the slot. Only the passing of time guarantees that the
  // work has ended, so the lender reclaims the slot by its own clock.
  if (message.borrower_incarnation != incarnation_)
    return;
  const auto found = requests_.find(message.request_id);
  if (found == requests_.end() || found->second.lender != from) {
    // This may be a duplicate of a grant whose loan is in use; returning it
    // would free the slot while work still runs on it.
    if (!IsHeld(from, message)) {
      ++counts_.returned_unused;
      Return(from, message.request_id, message.lender_incarnation,
             message.loan_id, now);
    }
    return;
  }
  const open_request answered = found->second;
  requests_.erase(found);
  const auto usable_until = answered.sent_at + terms_.ttl;
  if (answered.renewed_loan != 0) {
    auto& renewed = loans_.at(answered.renewed_loan);
    renewed.renewal_requested = false;
    renewed.usable_until = std::max(renewed.usable_until, usable_until);
    dispatcher_.RenewLoan(answered.renewed_loan, usable_until);
    return;
  }
  if (usable_until <= now) {
    ++counts_.returned_unused;
    Return(from, message.request_id, message.lender_incarnation,
           message.loan_id, now);
    return;
  }
  ++counts_.borrowed;
  loans_[message.request_id] = {from, message.lender_incarnation,
                                message.loan_id, usable_until, false};
  auto wakeups = dispatcher_.AddLoan(
      {message.request_id, message.target, usable_until, answered.longest_work},
      now);
  std::move(wakeups.begin(), wakeups.end(), std::back_inserter(wakeups_));
}

void loan_borrower::OnRefusal(const std::string& from,
                              const loan_refusal& message) {
  const auto found = requests_.find(message.request_id);
  if (message.borrower_incarnation != incarnation_ ||
      found == requests_.end() || found->second.lender != from)
    return;
  // A loan whose renewal was refused keeps renewal_requested set, because the
  // lender would refuse a further renewal too.
  ++counts_.refused;
  requests_.erase(found);
}

void loan_borrower::Advance(time_point now) {
  ExpireRequests(now);
  ReturnIdle(now);
  const auto demand = dispatcher_.LoanDemand(now);
  if (demand && borrowing_) {
    Renew(*demand, now);
    RequestLoans(*demand, now);
  } else {
    CancelRequests(now);
  }
  SendReturns(now);
}

void loan_borrower::ExpireRequests(time_point now) {
  std::erase_if(requests_, [&](const auto& item) {
    const auto& [id, request] = item;
    if (request.sent_at + ResponseTimeout() > now)
      return false;
    ++counts_.requests_unanswered;
    if (request.renewed_loan == 0)
      Return(request.lender, id, 0, 0, now);
    return true;
  });
}

void loan_borrower::ReturnIdle(time_point now) {
  for (const auto id : dispatcher_.RemoveIdleLoans(now)) {
    const auto found = loans_.find(id);
    const borrowed_slot slot = found->second;
    loans_.erase(found);
    std::erase_if(requests_, [&](const auto& item) {
      return item.second.renewed_loan == id;
    });
    Return(slot.lender, id, slot.lender_incarnation, slot.lender_loan_id, now);
  }
}

void loan_borrower::Renew(const loan_demand& demand, time_point now) {
  for (auto& [id, slot] : loans_) {
    if (slot.renewal_requested || slot.usable_until <= now ||
        slot.usable_until - now > terms_.ttl / kRenewDivisor)
      continue;
    slot.renewal_requested = true;
    const auto request_id = next_request_id_++;
    requests_[request_id] = {slot.lender, now, demand.longest_work, id};
    outbox_.push_back(
        {slot.lender, loan_renewal{service_, incarnation_, request_id,
                                   slot.lender_incarnation, slot.lender_loan_id,
                                   Microseconds(terms_.ttl),
                                   Microseconds(demand.longest_work)}});
  }
}

void loan_borrower::RequestLoans(const loan_demand& demand, time_point now) {
  if (lenders_.empty())
    return;
  for (auto i = OpenRequests(); i < demand.waits.size(); ++i)
    SendRequest(PickLender().peer, demand.waits[i], demand.longest_work, now);
}

// Picks the better of two peers drawn at random. Digests lag by a second: if
// every borrower chose the peer with the most free slots, all of them would
// choose the same one.
const lender_digest& loan_borrower::PickLender() {
  std::uniform_int_distribution<std::size_t> draw(0, lenders_.size() - 1);
  const auto& first = lenders_[draw(random_)];
  const auto& second = lenders_[draw(random_)];
  const auto expected_free = [&](const lender_digest& each) {
    return static_cast<std::int64_t>(each.free_slots) -
           static_cast<std::int64_t>(OpenRequestsAt(each.peer));
  };
  return expected_free(second) > expected_free(first) ? second : first;
}

void loan_borrower::SendRequest(const std::string& lender,
                                duration waited,
                                duration longest_work,
                                time_point now) {
  const auto id = next_request_id_++;
  requests_[id] = {lender, now, longest_work, 0};
  ++counts_.requests_sent;
  outbox_.push_back(
      {lender,
       loan_request{service_, incarnation_, id, Microseconds(terms_.ttl),
                    Microseconds(longest_work), Microseconds(waited)}});
}

void loan_borrower::CancelRequests(time_point now) {
  std::erase_if(requests_, [&](const auto& item) {
    const auto& [id, request] = item;
    if (request.renewed_loan != 0)
      return false;
    Return(request.lender, id, 0, 0, now);
    return true;
  });
}

void loan_borrower::Return(const std::string& lender,
                           std::uint64_t request_id,
                           std::uint64_t lender_incarnation,
                           std::uint64_t lender_loan_id,
                           time_point now) {
  const loan_return message{service_, incarnation_, request_id,
                            lender_incarnation, lender_loan_id};
  open_returns_[request_id] = {lender, message, now, 0};
}

// A lost return costs the lender a slot for as long as the longest work may
// take: with one message in twenty lost, a region at 80% load lost a quarter of
// its slots this way. A return is therefore resent with exponential backoff
// until the lender acknowledges it, for about as long as it takes the lender to
// reclaim the slot by itself.
void loan_borrower::SendReturns(time_point now) {
  for (auto each = open_returns_.begin(); each != open_returns_.end();) {
    auto& open = each->second;
    if (open.next_send <= now && open.send_count == kMaxReturnSends) {
      each = open_returns_.erase(each);
      continue;
    }
    if (open.next_send <= now) {
      outbox_.push_back({open.lender, open.message});
      open.next_send = now + kFirstResendDelay * (1 << open.send_count);
      ++open.send_count;
    }
    ++each;
  }
}

void loan_borrower::OnReturnAck(const std::string& from,
                                const loan_return_ack& message) {
  const auto found = open_returns_.find(message.request_id);
  if (message.borrower_incarnation == incarnation_ &&
      found != open_returns_.end() && found->second.lender == from)
    open_returns_.erase(found);
}

bool loan_borrower::IsHeld(const std::string& from,
                           const loan_grant& message) const {
  return std::any_of(loans_.begin(), loans_.end(), [&](const auto& item) {
    const auto& slot = item.second;
    return slot.lender == from &&
           slot.lender_incarnation == message.lender_incarnation &&
           slot.lender_loan_id == message.loan_id;
  });
}

duration loan_borrower::ResponseTimeout() const {
  return terms_.ttl * kResponseTimeoutEighths / kEighths;
}

std::size_t loan_borrower::OpenRequests() const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(),
      [](const auto& item) { return item.second.renewed_loan == 0; }));
}

std::size_t loan_borrower::OpenRequestsAt(const std::string& lender) const {
  return static_cast<std::size_t>(std::count_if(
      requests_.begin(), requests_.end(),
      [&](const auto& item) { return item.second.lender == lender; }));
}

time_point loan_borrower::NextDue() const {
  auto next = time_point::max();
  for (const auto& [id, request] : requests_)
    next = std::min(next, request.sent_at + ResponseTimeout());
  for (const auto& [id, open] : open_returns_)
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
