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

// What a step of the loans leaves to do: messages to carry, waiters to wake.
struct loan_step {
  loan_outbox messages;
  std::vector<wakeup> wakeups;
};

// Both sides of the loans of one service at one entry. Advance is to be called
// after every call into the dispatcher, and when NextDue has come. Under the
// same lock as the dispatcher.
class loan_ledger {
 public:
  // `incarnation` must differ from that of every earlier process here.
  loan_ledger(service_dispatcher& slots,
              const std::string& service,
              const limits& bounds,
              std::uint64_t incarnation,
              std::uint64_t seed);

  // The region's other entries that own slots of the service.
  void SetLenders(std::vector<lender_digest> lenders);

  loan_step Receive(const std::string& from,
                    const loan_message& message,
                    time_point now);
  loan_step Advance(time_point now);
  time_point NextDue() const;

  // The entry is leaving: nothing is lent or borrowed any more. Its seats may
  // be handed over once lent_out is 0.
  void Leave();

  loan_counts counts() const;
  // Slots lent and not yet back: a leaving entry waits for these.
  std::size_t lent_out() const { return lender_.outstanding(); }

 private:
  loan_step Collect(time_point now);

  loan_lender lender_;
  loan_borrower borrower_;
  std::uint64_t messages_ = 0;
};

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_LEDGER_H_
