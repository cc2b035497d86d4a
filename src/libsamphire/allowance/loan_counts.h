#ifndef ALLOWANCE_LOAN_COUNTS_H_
#define ALLOWANCE_LOAN_COUNTS_H_

#include <cstdint>

namespace samphire {

// Counters of one entry's loans of one service since the process started. None
// of them ever decreases.
struct loan_counts {
  // Borrowing side: requests sent without renewals, and requests that timed out
  // with renewals included.
  std::uint64_t requests_sent = 0;
  std::uint64_t requests_unanswered = 0;
  // Grants that were accepted.
  std::uint64_t borrowed = 0;
  // Refusals received, those of renewals included.
  std::uint64_t refused = 0;
  // Grants that arrived too late or for a request that was no longer open, and
  // were returned unused.
  std::uint64_t returned_unused = 0;
  // Lending side.
  std::uint64_t renewed = 0;
  std::uint64_t lent = 0;
  // Loans that the lender took back because no return arrived in time.
  std::uint64_t reclaimed = 0;
  // Loan messages sent, by either side.
  std::uint64_t messages = 0;
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_COUNTS_H_
