#ifndef ALLOWANCE_LOAN_COUNTS_H_
#define ALLOWANCE_LOAN_COUNTS_H_

#include <cstdint>

namespace samphire {

// What one entry's loans of one service have come to since its start.
struct loan_counts {
  std::uint64_t asks_sent = 0;
  std::uint64_t asks_unanswered = 0;
  std::uint64_t borrowed = 0;
  std::uint64_t refused = 0;
  // Grants that came too late or for an ask given up, sent back unused.
  std::uint64_t sent_back = 0;
  std::uint64_t renewed = 0;
  std::uint64_t lent = 0;
  // Loans taken back without word from the borrower.
  std::uint64_t reclaimed = 0;
  std::uint64_t messages = 0;
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_COUNTS_H_
