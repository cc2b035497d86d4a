#ifndef ALLOWANCE_LOAN_LEDGER_H_
#define ALLOWANCE_LOAN_LEDGER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "allowance/lender_digest.h"
#include "allowance/loan_borrower.h"
#include "allowance/loan_counts.h"
#include "allowance/loan_lender.h"
#include "allowance/loan_outbox.h"
#include "config/limits.h"
#include "decision/service_dispatcher.h"

namespace samphire {

// Effects of a step that the caller has to carry out: messages to send to
// peers, and waiting requests to wake.
struct loan_step_result {
  loan_outbox messages;
  std::vector<wakeup> wakeups;
};

// Both sides, lending and borrowing, of the loans of one service at one entry.
// Advance must be called after every call into the dispatcher, and whenever the
// time returned by NextDue is reached. Not thread-safe: all calls must be made
// under the lock that guards the dispatcher.
class loan_ledger {
 public:
  // `incarnation` must differ from that of every earlier process on this
  // instance. `seed` determines the random choice of lenders. `dispatcher` must
  // outlive the ledger.
  loan_ledger(service_dispatcher& dispatcher,
              const std::string& service,
              const limits& bounds,
              std::uint64_t incarnation,
              std::uint64_t seed);

  // Replaces the set of the region's other entries that own slots of the
  // service.
  void SetLenders(std::vector<lender_digest> lenders);

  // Handles a message from the peer `from`. The message may be outdated or
  // duplicated.
  loan_step_result Receive(const std::string& from,
                           const loan_message& message,
                           time_point now);
  loan_step_result Advance(time_point now);
  // Earliest time at which Advance has something to do; time_point::max() if
  // nothing is due.
  time_point NextDue() const;

  // Stops lending and borrowing for good, because the entry is leaving. Its
  // slot partitions may be handed over once lent_out() is 0.
  void Leave();

  loan_counts counts() const;
  // Number of slots lent and not yet returned; a leaving entry waits for them.
  std::size_t lent_out() const { return lender_.outstanding(); }

 private:
  loan_step_result Collect(time_point now);

  loan_lender lender_;
  loan_borrower borrower_;
  std::uint64_t messages_ = 0;
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_LEDGER_H_
