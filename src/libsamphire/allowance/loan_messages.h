#ifndef ALLOWANCE_LOAN_MESSAGES_H_
#define ALLOWANCE_LOAN_MESSAGES_H_

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <variant>

namespace samphire {

// The messages by which entries of a region lend each other slots. Any of them
// may be lost, late, doubled or out of order. Times are lengths in
// microseconds, never points in time: no two instances share a clock. An
// incarnation is drawn anew by each process, so that numbers of an earlier one
// are never taken for its own.

// A borrower asks for one slot.
struct loan_ask {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t ask_id = 0;
  // How long after the sending of this ask a slot may start work.
  std::int64_t ttl_us = 0;
  // How long work on it may run.
  std::int64_t longest_work_us = 0;
  // How long the request that the slot is for has waited already.
  std::int64_t waited_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, ask_id, ttl_us, longest_work_us,
            waited_us);
  }
};

// The lender has lowered its own share by this slot. Answers an ask or a
// renewal.
struct loan_grant {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t ask_id = 0;
  std::uint64_t lender_incarnation = 0;
  std::uint64_t loan_id = 0;
  std::string target;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, ask_id, lender_incarnation, loan_id,
            target);
  }
};

// No slot came free in time, or the lender needs its slot back.
struct loan_refusal {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t ask_id = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, ask_id);
  }
};

// The borrower has ended its work on the loan, or gives up an ask (loan 0).
struct loan_return {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t ask_id = 0;
  std::uint64_t lender_incarnation = 0;
  std::uint64_t loan_id = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, ask_id, lender_incarnation, loan_id);
  }
};

// The lender has seen a return, and holds nothing for that ask any more.
struct loan_closed {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t ask_id = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, ask_id);
  }
};

// The borrower asks to go on starting work on a loan that it holds.
struct loan_renewal {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t ask_id = 0;
  std::uint64_t lender_incarnation = 0;
  std::uint64_t loan_id = 0;
  std::int64_t ttl_us = 0;
  std::int64_t longest_work_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, ask_id, lender_incarnation, loan_id,
            ttl_us, longest_work_us);
  }
};

using loan_message = std::variant<loan_ask,
                                  loan_grant,
                                  loan_refusal,
                                  loan_return,
                                  loan_renewal,
                                  loan_closed>;

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_MESSAGES_H_
