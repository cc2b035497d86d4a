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

// Lending side of the loans of one service at one entry: tracks the requests of
// peers that wait for a free slot, and the slots lent. Not thread-safe; used
// under the lock that guards the dispatcher.
class loan_lender {
 public:
  loan_lender(service_dispatcher& dispatcher,
              std::string service,
              const loan_terms& terms,
              std::uint64_t incarnation)
      : dispatcher_(dispatcher),
        service_(std::move(service)),
        terms_(terms),
        incarnation_(incarnation) {}

  // Handle messages from the peer `from`. A duplicated request takes no second
  // slot; its grant is sent again. A return is acknowledged even if it matches
  // nothing.
  void OnRequest(const std::string& from,
                 const loan_request& request,
                 time_point now);
  void OnReturn(const std::string& from,
                const loan_return& message,
                time_point now);
  void OnRenewal(const std::string& from,
                 const loan_renewal& message,
                 time_point now);
  // Refuses all requests and renewals from now on, pending requests included.
  void StopLending() { lending_ = false; }
  // Refuses expired requests, reclaims overdue loans and grants free slots to
  // pending requests.
  void Advance(time_point now);
  // Earliest time at which a request expires or a loan is reclaimed;
  // time_point::max() if there is neither.
  time_point NextDue() const;

  // Hand over what has accumulated since the last call.
  loan_outbox TakeMessages();
  std::vector<wakeup> TakeWakeups();
  const loan_counts& counts() const { return counts_; }
  // Number of slots lent and not yet returned or reclaimed.
  std::size_t outstanding() const { return loans_.size(); }

 private:
  struct pending_request {
    std::string borrower;
    loan_request request;
    // When the caller's request that needs the slot began to wait, by this
    // entry's clock.
    time_point waiting_since;
    // When the request is refused unless a slot was granted.
    time_point respond_by;
  };
  struct loan {
    std::string borrower;
    std::uint64_t borrower_incarnation = 0;
    std::uint64_t request_id = 0;
    std::string target;
    // When the slot is taken back unless it was returned or renewed.
    time_point reclaim_at;
  };

  void RefuseExpired(time_point now);
  void ReclaimExpired(time_point now);
  void GrantToOldest(time_point now);
  void ReportOldestRequest(time_point now);
  void SendGrant(const std::string& to,
                 std::uint64_t request_id,
                 std::uint64_t loan_id);
  void SendRefusal(const std::string& to,
                   const std::string& service,
                   std::uint64_t incarnation,
                   std::uint64_t request_id);
  time_point ReclaimAt(std::int64_t ttl_us,
                       std::int64_t longest_work_us,
                       time_point now) const;
  void CloseLoan(std::map<std::uint64_t, loan>::iterator closed,
                 time_point now);
  void QueueWakeups(std::vector<wakeup> wakeups);

  service_dispatcher& dispatcher_;
  std::string service_;
  loan_terms terms_;
  std::uint64_t incarnation_;
  bool lending_ = true;
  std::uint64_t next_loan_id_ = 1;
  std::map<std::uint64_t, loan> loans_;
  // Sorted, with the longest waiting request first.
  std::vector<pending_request> pending_;
  // Start of the longest wait, as last reported to the dispatcher.
  std::optional<time_point> reported_oldest_;
  loan_outbox outbox_;
  std::vector<wakeup> wakeups_;
  loan_counts counts_;
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_LENDER_H_
