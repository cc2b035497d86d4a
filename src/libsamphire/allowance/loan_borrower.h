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

// Borrowing side of the loans of one service at one entry: tracks open
// requests, loans held and returns that the lender has not acknowledged. Not
// thread-safe; used under the lock that guards the dispatcher.
class loan_borrower {
 public:
  loan_borrower(service_dispatcher& dispatcher,
                std::string service,
                const loan_terms& terms,
                std::uint64_t incarnation,
                std::uint64_t seed);

  // Sends no further requests or renewals; loans are returned as their work
  // ends.
  void StopBorrowing() { borrowing_ = false; }
  void SetLenders(std::vector<lender_digest> lenders);

  // Handle messages from the peer `from`. A grant that matches no open request
  // is returned to the lender, unless its loan is held already or it belongs to
  // an earlier process. Other messages that match nothing are ignored.
  void OnGrant(const std::string& from,
               const loan_grant& message,
               time_point now);
  void OnRefusal(const std::string& from, const loan_refusal& message);
  void OnReturnAck(const std::string& from, const loan_return_ack& message);
  // Expires unanswered requests, returns idle loans, renews loans, requests new
  // ones and resends returns, as far as each is due.
  void Advance(time_point now);
  // Earliest time at which a request expires or a return is resent;
  // time_point::max() if there is neither.
  time_point NextDue() const;

  // Hand over what has accumulated since the last call.
  loan_outbox TakeMessages();
  std::vector<wakeup> TakeWakeups();
  const loan_counts& counts() const { return counts_; }

 private:
  // A request or renewal that the lender has not answered yet.
  struct open_request {
    std::string lender;
    time_point sent_at;
    duration longest_work{0};
    // For a renewal, the id of the loan to renew; otherwise 0.
    std::uint64_t renewed_loan = 0;
  };
  struct borrowed_slot {
    std::string lender;
    std::uint64_t lender_incarnation = 0;
    std::uint64_t lender_loan_id = 0;
    time_point usable_until;
    bool renewal_requested = false;
  };

  // A return that the lender has not acknowledged yet.
  struct open_return {
    std::string lender;
    loan_return message;
    time_point next_send;
    int send_count = 0;
  };

  void SendReturns(time_point now);
  void ExpireRequests(time_point now);
  void ReturnIdle(time_point now);
  void Renew(const loan_demand& demand, time_point now);
  void RequestLoans(const loan_demand& demand, time_point now);
  void CancelRequests(time_point now);
  void SendRequest(const std::string& lender,
                   duration waited,
                   duration longest_work,
                   time_point now);
  void Return(const std::string& lender,
              std::uint64_t request_id,
              std::uint64_t lender_incarnation,
              std::uint64_t lender_loan_id,
              time_point now);
  // Whether the loan of this grant is held already.
  bool IsHeld(const std::string& from, const loan_grant& message) const;
  duration ResponseTimeout() const;
  // Open requests for new loans, without renewals.
  std::size_t OpenRequests() const;
  // Open requests at one lender, renewals included.
  std::size_t OpenRequestsAt(const std::string& lender) const;
  // Requires that there is at least one lender.
  const lender_digest& PickLender();

  service_dispatcher& dispatcher_;
  std::string service_;
  loan_terms terms_;
  std::uint64_t incarnation_;
  std::mt19937_64 random_;
  std::vector<lender_digest> lenders_;
  bool borrowing_ = true;
  std::uint64_t next_request_id_ = 1;
  std::map<std::uint64_t, open_request> requests_;
  // By the id of the request that led to the loan.
  std::map<std::uint64_t, borrowed_slot> loans_;
  // By request id.
  std::map<std::uint64_t, open_return> open_returns_;
  loan_outbox outbox_;
  std::vector<wakeup> wakeups_;
  loan_counts counts_;
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_BORROWER_H_
