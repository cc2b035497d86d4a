#include "allowance/loan_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphire {

namespace {

template <typename T>
void AppendTo(std::vector<T>& all, std::vector<T> more) {
  std::move(more.begin(), more.end(), std::back_inserter(all));
}

struct message_handler {
  loan_lender& lender;
  loan_borrower& borrower;
  const std::string& from;
  time_point now;

  void operator()(const loan_request& message) const {
    lender.OnRequest(from, message, now);
  }
  void operator()(const loan_renewal& message) const {
    lender.OnRenewal(from, message, now);
  }
  void operator()(const loan_return& message) const {
    lender.OnReturn(from, message, now);
  }
  void operator()(const loan_grant& message) const {
    borrower.OnGrant(from, message, now);
  }
  void operator()(const loan_return_ack& message) const {
    borrower.OnReturnAck(from, message);
  }
  void operator()(const loan_refusal& message) const {
    borrower.OnRefusal(from, message);
  }
};

}  // namespace

loan_ledger::loan_ledger(service_dispatcher& dispatcher,
                         const std::string& service,
                         const limits& bounds,
                         std::uint64_t incarnation,
                         std::uint64_t seed)
    : lender_(dispatcher,
              service,
              {bounds.loan_ttl, bounds.clock_drift},
              incarnation),
      borrower_(dispatcher,
                service,
                {bounds.loan_ttl, bounds.clock_drift},
                incarnation,
                seed) {}

void loan_ledger::SetLenders(std::vector<lender_digest> lenders) {
  borrower_.SetLenders(std::move(lenders));
}

loan_step_result loan_ledger::Receive(const std::string& from,
                                      const loan_message& message,
                                      time_point now) {
  std::visit(message_handler{lender_, borrower_, from, now}, message);
  return Collect(now);
}

loan_step_result loan_ledger::Advance(time_point now) {
  return Collect(now);
}

loan_step_result loan_ledger::Collect(time_point now) {
  lender_.Advance(now);
  borrower_.Advance(now);
  loan_step_result step;
  AppendTo(step.messages, lender_.TakeMessages());
  AppendTo(step.messages, borrower_.TakeMessages());
  AppendTo(step.wakeups, lender_.TakeWakeups());
  AppendTo(step.wakeups, borrower_.TakeWakeups());
  messages_ += step.messages.size();
  return step;
}

time_point loan_ledger::NextDue() const {
  return std::min(lender_.NextDue(), borrower_.NextDue());
}

void loan_ledger::Leave() {
  lender_.StopLending();
  borrower_.StopBorrowing();
}

loan_counts loan_ledger::counts() const {
  loan_counts all = borrower_.counts();
  all.lent = lender_.counts().lent;
  all.reclaimed = lender_.counts().reclaimed;
  all.renewed = lender_.counts().renewed;
  all.messages = messages_;
  return all;
}

}  // namespace samphire
