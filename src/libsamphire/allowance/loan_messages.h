#ifndef ALLOWANCE_LOAN_MESSAGES_H_
#define ALLOWANCE_LOAN_MESSAGES_H_

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <variant>

namespace samphire {

// Messages by which entries of a region lend each other slots. Each of them may
// be lost, delayed, duplicated or reordered. Times are durations in
// microseconds, never points in time, because no two instances share a clock.
// Each process draws a new incarnation, so that ids issued by an earlier
// process on the same instance are never mistaken for its own. Fields are
// serialized in the order of declaration, and message types by their position
// in loan_message.

// Borrower to lender: requests one slot of the service.
struct loan_request {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t request_id = 0;
  // How long after this request was sent the slot may start work.
  std::int64_t ttl_us = 0;
  // How long a single piece of work on the slot may run.
  std::int64_t longest_work_us = 0;
  // How long the caller's request that needs the slot has already waited.
  std::int64_t waited_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, request_id, ttl_us, longest_work_us,
            waited_us);
  }
};

// Lender to borrower: grants a request or a renewal. The lender has already
// removed the slot from its own share.
struct loan_grant {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t request_id = 0;
  std::uint64_t lender_incarnation = 0;
  std::uint64_t loan_id = 0;
  std::string target;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, request_id, lender_incarnation,
            loan_id, target);
  }
};

// Lender to borrower: refuses a request because no slot became free in time or
// too many requests are pending, or a renewal because the lender needs its slot
// back or does not know the loan. Either is also refused if the lender is
// leaving or a duration in the message is out of bounds.
struct loan_refusal {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t request_id = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, request_id);
  }
};

// Borrower to lender: returns a loan whose work has ended, or cancels the
// request (loan_id 0).
struct loan_return {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t request_id = 0;
  std::uint64_t lender_incarnation = 0;
  std::uint64_t loan_id = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, request_id, lender_incarnation,
            loan_id);
  }
};

// Lender to borrower: acknowledges a return. The lender holds neither a pending
// request nor a loan for that request id any more.
struct loan_return_ack {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t request_id = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, request_id);
  }
};

// Borrower to lender: asks to extend the time during which work may start on a
// loan that the borrower holds.
struct loan_renewal {
  std::string service;
  std::uint64_t borrower_incarnation = 0;
  std::uint64_t request_id = 0;
  std::uint64_t lender_incarnation = 0;
  std::uint64_t loan_id = 0;
  std::int64_t ttl_us = 0;
  std::int64_t longest_work_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, borrower_incarnation, request_id, lender_incarnation,
            loan_id, ttl_us, longest_work_us);
  }
};

using loan_message = std::variant<loan_request,
                                  loan_grant,
                                  loan_refusal,
                                  loan_return,
                                  loan_renewal,
                                  loan_return_ack>;

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_MESSAGES_H_
