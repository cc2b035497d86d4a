#ifndef ALLOWANCE_LOAN_BORROWER_H_
#define ALLOWANCE_LOAN_BORROWER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "allowance/lender_digest.h"
#include "allowance/loan_counts.h"
#include "allowance/loan_outbox.h"
#include "allowance/loan_terms.h"
#include "base/clock_source.h"
#include "decision/service_dispatcher.h"

namespace samphire {

// The borrowing side of one service at one entry: asks under way, loans held.
class loan_borrower {
 public:
  loan_borrower(service_dispatcher& slots,
                std::string service,
                const loan_terms& terms,
                std::uint64_t incarnation,
                std::uint64_t seed);

  // Asks for nothing more; loans held go back as their work ends.
  void StopBorrowing() { borrowing_ = false; }
  void SetLenders(std::vector<lender_digest> lenders);

  void OnGrant(const std::string& from,
               const loan_grant& message,
               time_point now);
  void OnRefusal(const std::string& from, const loan_refusal& message);
  void OnClosed(const std::string& from, const loan_closed& message);
  // Gives up, sends back, renews and asks for what is due.
  void Advance(time_point now);
  time_point NextDue() const;

  loan_outbox TakeMessages();
  std::vector<wakeup> TakeWakeups();
  const loan_counts& counts() const { return counts_; }

 private:
  struct open_ask {
    std::string lender;
    time_point sent;
    duration longest_work{0};
    // The loan that a renewal is for, or 0.
    std::uint64_t renews = 0;
  };
  struct borrowed_slot {
    std::string lender;
    std::uint64_t lender_incarnation = 0;
    std::uint64_t lender_loan = 0;
    time_point usable_until;
    bool renewal_open = false;
  };

  // A return that the lender has not confirmed yet.
  struct open_return {
    std::string lender;
    loan_return message;
    time_point next_send;
    int sent = 0;
  };

  void SendReturns(time_point now);
  void GiveUpLate(time_point now);
  void SendBackIdle(time_point now);
  void Renew(const loan_demand& wish, time_point now);
  void AskFor(const loan_demand& wish, time_point now);
  void GiveUpAll(time_point now);
  void Ask(const std::string& lender,
           duration waited,
           duration longest_work,
           time_point now);
  void Return(const std::string& lender,
              std::uint64_t ask_id,
              std::uint64_t lender_incarnation,
              std::uint64_t lender_loan,
              time_point now);
  bool Holds(const std::string& from, const loan_grant& message) const;
  duration AnswerTime() const;
  std::size_t OpenAsks() const;
  std::size_t OpenAsksAt(const std::string& lender) const;
  const lender_digest& PickLender();

  service_dispatcher& slots_;
  std::string service_;
  loan_terms terms_;
  std::uint64_t incarnation_;
  std::mt19937_64 random_;
  std::vector<lender_digest> lenders_;
  bool borrowing_ = true;
  std::uint64_t next_ask_ = 1;
  std::map<std::uint64_t, open_ask> asks_;
  // By the number of the ask that brought it.
  std::map<std::uint64_t, borrowed_slot> held_;
  // By the number of the ask.
  std::map<std::uint64_t, open_return> returns_;
  loan_outbox outbox_;
  std::vector<wakeup> wakeups_;
  loan_counts counts_;
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_BORROWER_H_
