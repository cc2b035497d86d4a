#ifndef ALLOWANCE_LOAN_LENDER_H_
#define ALLOWANCE_LOAN_LENDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "allowance/loan_counts.h"
#include "allowance/loan_outbox.h"
#include "allowance/loan_terms.h"
#include "base/clock_source.h"
#include "decision/service_dispatcher.h"

namespace samphire {

// The lending side of one service at one entry: asks that wait, slots lent.
class loan_lender {
 public:
  loan_lender(service_dispatcher& slots,
              std::string service,
              const loan_terms& terms,
              std::uint64_t incarnation)
      : slots_(slots),
        service_(std::move(service)),
        terms_(terms),
        incarnation_(incarnation) {}

  void OnAsk(const std::string& from, const loan_ask& ask, time_point now);
  void OnReturn(const std::string& from,
                const loan_return& message,
                time_point now);
  void OnRenewal(const std::string& from,
                 const loan_renewal& message,
                 time_point now);
  // Refuses all asks from now on, those that wait included.
  void StopLending() { lending_ = false; }
  // Lends, refuses and reclaims what is due.
  void Advance(time_point now);
  time_point NextDue() const;

  loan_outbox TakeMessages();
  std::vector<wakeup> TakeWakeups();
  const loan_counts& counts() const { return counts_; }
  std::size_t outstanding() const { return loans_.size(); }

 private:
  struct waiting_ask {
    std::string borrower;
    loan_ask ask;
    // When the request it is for began to wait, by this entry's clock.
    time_point waiting_since;
    time_point answer_by;
  };
  struct loan {
    std::string borrower;
    std::uint64_t borrower_incarnation = 0;
    std::uint64_t ask_id = 0;
    std::string target;
    time_point reclaim_at;
  };

  void RefuseDue(time_point now);
  void ReclaimDue(time_point now);
  void LendToOldest(time_point now);
  void TellOldestAsk(time_point now);
  void Grant(const std::string& to, std::uint64_t ask_id, std::uint64_t id);
  void Refuse(const std::string& to,
              const std::string& service,
              std::uint64_t incarnation,
              std::uint64_t ask_id);
  time_point ReclaimAt(std::int64_t ttl_us,
                       std::int64_t longest_work_us,
                       time_point now) const;
  void Close(std::map<std::uint64_t, loan>::iterator closed, time_point now);
  void Wake(std::vector<wakeup> wakeups);

  service_dispatcher& slots_;
  std::string service_;
  loan_terms terms_;
  std::uint64_t incarnation_;
  bool lending_ = true;
  std::uint64_t next_loan_ = 1;
  std::map<std::uint64_t, loan> loans_;
  // Longest waiting first.
  std::vector<waiting_ask> asks_;
  std::optional<time_point> told_oldest_;
  loan_outbox outbox_;
  std::vector<wakeup> wakeups_;
  loan_counts counts_;
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_LENDER_H_
